/* Tests the platform's packet format against known bytes. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_platform.h"

#define HEADER_SIZE 31

/* A SYN from 100.64.0.7:40001 to 198.18.0.1:443. */
static const uint8_t syn[HEADER_SIZE] = {
    0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c,
    0x41, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00,
    0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

/* The reset that answers this SYN. */
static const uint8_t reset[HEADER_SIZE] = {
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
    assert_int_equal(packet.syn_retransmits, 0);
    assert_int_equal(ops()->make_reset(&packet, out), HEADER_SIZE);
    assert_memory_equal(out, reset, HEADER_SIZE);
    assert_int_equal(ops()->destination(out).ip, 0x64400007);
}

/* A reset on an open flow has the sequence number that the caller expects
 * next. */
static void
test_reset_of_open_flow(void **state)
{
    const struct rp_packet data = {.flags = RP_TCP_ACK, .ack = 0x01020304};
    uint8_t out[RP_CODEC_SCRATCH];

    (void)state;
    ops()->make_reset(&data, out);
    assert_memory_equal(out + 16, "\1\2\3\4", 4);
}

/* Each malformed packet is dropped with the right reason. */
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
        {0, 0xc6, HEADER_SIZE - 1, RP_COUNT_DROP_SHORT},
        {0, 0xc6, HEADER_SIZE + 1, RP_COUNT_DROP_BAD_TRANSPORT},
        {30, 1, HEADER_SIZE, RP_COUNT_DROP_BAD_TRANSPORT},
        /* a SYN with data */
        {30, 1, HEADER_SIZE + 1, RP_COUNT_DROP_BAD_TRANSPORT},
        {24, 0x01, HEADER_SIZE, RP_COUNT_DROP_BAD_TRANSPORT},
        {24, 0x50, HEADER_SIZE, RP_COUNT_DROP_BAD_TRANSPORT},
        {24, 0x30, HEADER_SIZE, RP_COUNT_DROP_WRONG_SIDE},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint8_t bytes[HEADER_SIZE + 1] = {0};
        struct rp_packet packet;
        enum rp_counter reason = RP_COUNTER_COUNT;
        memcpy(bytes, syn, HEADER_SIZE);
        bytes[cases[i].at] = cases[i].value;
        assert_false(ops()->parse(bytes, cases[i].len, &packet, &reason));
        assert_int_equal(reason, cases[i].reason);
    }
}

/* Taking back a packet that a host returned clears only its "returned" flag,
 * so that it is again the packet that the caller sent. */
static void
test_returned_packet(void **state)
{
    uint8_t bytes[HEADER_SIZE];

    (void)state;
    memcpy(bytes, syn, HEADER_SIZE);
    assert_false(ops()->clear_returned_mark(bytes, HEADER_SIZE));
    assert_memory_equal(bytes, syn, HEADER_SIZE);
    bytes[24] |= 0x20;
    assert_false(ops()->clear_returned_mark(bytes, HEADER_SIZE - 1));
    assert_true(ops()->clear_returned_mark(bytes, HEADER_SIZE));
    assert_memory_equal(bytes, syn, HEADER_SIZE);
}

/* The acknowledgement number counts copies only in a SYN. */
static void
test_copies_are_counted(void **state)
{
    uint8_t bytes[HEADER_SIZE];
    struct rp_packet packet;
    enum rp_counter reason;

    (void)state;
    assert_true(ops()->numbers_copies);
    assert_false(rp_codec_ipv4.ops->numbers_copies);
    memcpy(bytes, syn, HEADER_SIZE);
    bytes[23] = 2;
    assert_true(ops()->parse(bytes, HEADER_SIZE, &packet, &reason));
    assert_int_equal(packet.syn_retransmits, 2);
    assert_int_equal(packet.waited_us, 600000);
    bytes[24] = 0x04;
    assert_true(ops()->parse(bytes, HEADER_SIZE, &packet, &reason));
    assert_int_equal(packet.syn_retransmits, 0);
    assert_int_equal(packet.waited_us, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_known_bytes),
        cmocka_unit_test(test_reset_of_open_flow),
        cmocka_unit_test(test_bad_packets),
        cmocka_unit_test(test_returned_packet),
        cmocka_unit_test(test_copies_are_counted),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
