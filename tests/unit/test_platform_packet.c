/* The platform's packets: a table of bytes and what each must read as. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_platform.h"

#define HEAD 31

/* A SYN from 100.64.0.7:40001 to 198.18.0.1:443. */
static const uint8_t syn[HEAD] = {
    0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c,
    0x41, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00,
    0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

/* The reset that answers it. */
static const uint8_t reset[HEAD] = {
    0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01,
    0xbb, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

static const struct rp_codec_ops *
ops(void)
{
    return rp_codec_platform.ops;
}

static void
test_known_bytes(void **state)
{
    struct rp_packet packet;
    enum rp_counter reason;
    uint8_t out[RP_CODEC_SCRATCH];

    (void)state;
    assert_true(ops()->parse(syn, sizeof syn, &packet, &reason));
    assert_int_equal(packet.key.src_ip, 0x64400007);
    assert_int_equal(packet.key.src_port, 40001);
    assert_int_equal(packet.key.dst_ip, 0xc6120001);
    assert_int_equal(packet.key.dst_port, 443);
    assert_int_equal(packet.seq, 0x11223344);
    assert_int_equal(packet.flags, RP_TCP_SYN);
    assert_int_equal(packet.copy, 0);
    assert_int_equal(ops()->make_reset(&packet, out), HEAD);
    assert_memory_equal(out, reset, HEAD);
    assert_int_equal(ops()->target(out).ip, 0x64400007);
}

/* On an open flow a reset lies where the caller expects the next byte. */
static void
test_reset_of_open_flow(void **state)
{
    const struct rp_packet data = {.flags = RP_TCP_ACK, .ack = 0x01020304};
    uint8_t out[RP_CODEC_SCRATCH];

    (void)state;
    ops()->make_reset(&data, out);
    assert_memory_equal(out + 16, "\1\2\3\4", 4);
}

/* Each bad packet with the reason that it is dropped for. */
static void
test_bad_packets(void **state)
{
    static const struct {
        size_t at;
        uint8_t value;
        size_t len;
        enum rp_counter reason;
    } cases[] = {
        {0, 0xc6, 0, RP_COUNT_DROP_SHORT},
        {0, 0xc6, HEAD - 1, RP_COUNT_DROP_SHORT},
        {0, 0xc6, HEAD + 1, RP_COUNT_DROP_BAD_TRANSPORT},
        {30, 1, HEAD, RP_COUNT_DROP_BAD_TRANSPORT},
        {30, 1, HEAD + 1, RP_COUNT_DROP_BAD_TRANSPORT}, /* a SYN with data */
        {24, 0x01, HEAD, RP_COUNT_DROP_BAD_TRANSPORT},
        {24, 0x50, HEAD, RP_COUNT_DROP_BAD_TRANSPORT},
        {24, 0x30, HEAD, RP_COUNT_DROP_WRONG_SIDE},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint8_t bytes[HEAD + 1] = {0};
        struct rp_packet packet;
        enum rp_counter reason = RP_COUNTER_COUNT;
        memcpy(bytes, syn, HEAD);
        bytes[cases[i].at] = cases[i].value;
        assert_false(ops()->parse(bytes, cases[i].len, &packet, &reason));
        assert_int_equal(reason, cases[i].reason);
    }
}

/* A packet that the host gave back is the caller's own again, and nothing
 * else of it is touched. */
static void
test_given_back(void **state)
{
    uint8_t bytes[HEAD];

    (void)state;
    memcpy(bytes, syn, HEAD);
    assert_false(ops()->take_back(bytes, HEAD));
    assert_memory_equal(bytes, syn, HEAD);
    bytes[24] |= 0x20;
    assert_false(ops()->take_back(bytes, HEAD - 1));
    assert_true(ops()->take_back(bytes, HEAD));
    assert_memory_equal(bytes, syn, HEAD);
}

static void
test_copies_are_counted(void **state)
{
    uint8_t bytes[HEAD];
    struct rp_packet packet;
    enum rp_counter reason;

    (void)state;
    memcpy(bytes, syn, HEAD);
    bytes[23] = 2;
    assert_true(ops()->parse(bytes, HEAD, &packet, &reason));
    assert_int_equal(packet.copy, 2);
    assert_int_equal(packet.waited_us, 600000);
    bytes[24] = 0x04;
    assert_true(ops()->parse(bytes, HEAD, &packet, &reason));
    assert_int_equal(packet.copy, 0);
    assert_int_equal(packet.waited_us, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_known_bytes),
        cmocka_unit_test(test_reset_of_open_flow),
        cmocka_unit_test(test_bad_packets),
        cmocka_unit_test(test_given_back),
        cmocka_unit_test(test_copies_are_counted),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
