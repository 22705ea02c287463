/* Packets that wait for a balancer's table. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_balancer.h"
#include "rp_waiting.h"

#define MS RP_US_PER_MS

static void
make_flow_packet(struct test_packet *out, unsigned flow, uint8_t flags,
                 size_t payload)
{
    const struct rp_flow_key key = {
        .src_ip = 0x0a090001 + (flow >> 12),
        .src_port = (uint16_t)(1024 + (flow & 4095)),
        .dst_ip = 0x0a010001,
        .dst_port = 443};

    make_test_packet(out, key, flags, 1, 1, payload);
}

static size_t
put(struct rp_waiting *waiting, int64_t now, unsigned flow, uint8_t flags,
    size_t payload)
{
    struct test_packet test;

    make_flow_packet(&test, flow, flags, payload);
    return RpWaiting_Put(waiting, now, &test.packet,
                         (struct rp_endpoint){.ip = 7});
}

/* Takes all packets and writes their ports, 's' before those that open a
 * flow. */
static const char *
take_all(struct rp_waiting *waiting)
{
    static char text[256];
    struct rp_waiting_packet *packet;
    size_t len = 0;

    text[0] = '\0';
    while ((packet = RpWaiting_Take(waiting))) {
        len += (size_t)g_snprintf(text + len, sizeof text - len, "%s%u ",
                                  packet->opens ? "s" : "",
                                  packet->key.src_port - 1024u);
        g_free(packet);
    }
    return text;
}

/* Packets leave in the order of their arrival. A copy of a SYN replaces the
 * earlier one; packets of open flows all stay. */
static void
test_order(void **state)
{
    struct rp_waiting *waiting = RpWaiting_Create();

    (void)state;
    assert_null(RpWaiting_Take(waiting));
    put(waiting, 0, 1, RP_TCP_SYN, 0);
    put(waiting, 1, 2, RP_TCP_ACK, 10);
    put(waiting, 2, 2, RP_TCP_ACK, 10);
    put(waiting, 3, 3, RP_TCP_SYN, 0);
    put(waiting, 200 * MS, 1, RP_TCP_SYN, 0);
    assert_int_equal(RpWaiting_Count(waiting), 4);
    assert_string_equal(take_all(waiting), "2 2 s3 s1 ");
    put(waiting, 0, 1, RP_TCP_SYN, 0);
    put(waiting, 1, 2, RP_TCP_SYN, 0);
    /* The first table has no members: packets that are taken go back. */
    for (int i = 0; i < 2; i++) {
        struct rp_waiting_packet *packet = RpWaiting_Take(waiting);
        assert_int_equal(packet->from.ip, 7);
        RpWaiting_Return(waiting, packet);
    }
    put(waiting, 200 * MS, 1, RP_TCP_SYN, 0);
    assert_string_equal(take_all(waiting), "s2 s1 ");
    RpWaiting_Free(waiting);
}

/* Packets are dropped when they are too old, and the oldest make room. */
static void
test_bounds(void **state)
{
    struct rp_waiting *waiting = RpWaiting_Create();
    size_t dropped = 0;

    (void)state;
    put(waiting, 0, 1, RP_TCP_SYN, 0);
    put(waiting, 1, 2, RP_TCP_SYN, 0);
    assert_int_equal(RpWaiting_Expire(waiting, RP_WAITING_LIFETIME_US - 1), 0);
    assert_int_equal(RpWaiting_Expire(waiting, RP_WAITING_LIFETIME_US), 1);
    assert_string_equal(take_all(waiting), "s2 ");
    for (unsigned i = 0; i < RP_WAITING_MAX_PACKETS + 5; i++) {
        dropped += put(waiting, i, i, RP_TCP_SYN, 0);
    }
    assert_int_equal(dropped, 5);
    assert_int_equal(RpWaiting_Count(waiting), RP_WAITING_MAX_PACKETS);
    /* Large packets of open flows reach the limit of bytes first. */
    for (unsigned i = 0; i < RP_WAITING_MAX_PACKETS; i++) {
        put(waiting, i, 1, RP_TCP_ACK, 1200);
    }
    assert_in_range(RpWaiting_Count(waiting), 1, RP_WAITING_MAX_BYTES / 1200);
    RpWaiting_Free(waiting);
}

/* The pattern of a loss of all power: the fabric hands packets to balancers
 * that have just started, 450 ms before their table. Callers want an answer
 * within 500 ms and repeat a SYN once, after 200 ms. Counts the callers whose
 * SYN, or its copy, leaves the balancer in time for an answer. */
static void
test_power_restored(void **state)
{
    const int64_t table_at = 450 * MS;
    const int64_t patience = 500 * MS;
    const int64_t copy_after = 200 * MS;
    struct rp_waiting *waiting = RpWaiting_Create();
    struct rp_waiting_packet *packet;
    unsigned asked = 0;
    unsigned routed_at_once = 0;
    unsigned in_time = 0;

    (void)state;
    /* One caller each 3 ms; `flow` is the time of its first SYN. */
    for (unsigned ms = 0; ms < 450; ms++) {
        int64_t now = ms * MS;
        RpWaiting_Expire(waiting, now);
        if (ms % 3 == 0) {
            asked++;
            routed_at_once += now + copy_after >= table_at;
            put(waiting, now, ms, RP_TCP_SYN, 0);
        }
        if (ms >= 200 && (ms - 200) % 3 == 0) {
            put(waiting, now, ms - 200, RP_TCP_SYN, 0);
        }
    }
    RpWaiting_Expire(waiting, table_at);
    while ((packet = RpWaiting_Take(waiting))) {
        int64_t asked_at = (packet->key.src_port - 1024) * MS;
        in_time += table_at < asked_at + patience;
        g_free(packet);
    }
    /* Without waiting, only callers whose copy finds the table are served. */
    assert_in_range(routed_at_once, 1, asked * 50 / 100);
    assert_int_equal(in_time, asked);
    RpWaiting_Free(waiting);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_order),
        cmocka_unit_test(test_bounds),
        cmocka_unit_test(test_power_restored),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
