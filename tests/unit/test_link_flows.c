/* What flows send over a balancer's outgoing link, as learned. */
#include <glib.h>

#include "check.h"
#include "rp_link_flows.h"

#define MS RP_US_PER_MS
#define SEGMENT 1200 /* bytes on the link, for a simple sum */

static const struct rp_flow_key flow = {.src_ip = 0x0a090001,
                                        .src_port = 1001,
                                        .dst_ip = 0x0a010001,
                                        .dst_port = 1};

static enum rp_egress_class
count(struct rp_link_flows *flows, int64_t now, struct rp_flow_key key,
      uint8_t flags, uint32_t seq, size_t payload)
{
    struct test_packet test;

    make_test_packet(&test, key, flags, seq, 1, payload);
    return RpLinkFlows_Count(flows, now, &test.packet, 2,
                             payload > 0 ? SEGMENT : 100);
}

/* A whole request of `segments` segments. */
static void
play_request(struct rp_link_flows *flows, int64_t now, struct rp_flow_key key,
             uint32_t segments)
{
    count(flows, now, key, RP_TCP_SYN, 1, 0);
    for (uint32_t i = 0; i < segments; i++) {
        count(flows, now, key, RP_TCP_ACK, 2 + i * 1000, 1000);
    }
    count(flows, now, key, RP_TCP_FIN | RP_TCP_ACK, 2 + segments * 1000, 0);
}

static uint64_t
mean_size(const struct rp_link_flows *flows, struct rp_flow_key key)
{
    return RpLinkFlows_MeanSize(flows, RpFlowKey_Destination(key));
}

/* The size of a request is learned by address, and what a new flow will still
 * send becomes less with each packet; copies of a segment do not count. */
static void
test_outstanding(void **state)
{
    struct rp_link_flows *flows = RpLinkFlows_Create();
    struct rp_flow_key other = flow;

    (void)state;
    other.src_port++;
    play_request(flows, 0, flow, 10);
    assert_int_equal(mean_size(flows, flow), 10 * SEGMENT + 200);
    assert_int_equal(RpLinkFlows_Outstanding(flows, 0, 2), 0);
    count(flows, MS, other, RP_TCP_SYN, 1, 0);
    assert_int_equal(RpLinkFlows_Outstanding(flows, MS, 2),
                     10 * SEGMENT + 100);
    assert_int_equal(RpLinkFlows_Outstanding(flows, MS, 1), 0);
    assert_int_equal(RpLinkFlows_Outstanding(flows, MS, 9),
                     10 * SEGMENT + 100);
    for (int copy = 0; copy < 3; copy++) {
        count(flows, MS, other, RP_TCP_ACK, 2, 1000);
        assert_int_equal(RpLinkFlows_Outstanding(flows, MS, 2),
                         9 * SEGMENT + 100);
    }
    /* It sends nothing more. */
    int64_t idle = MS + RP_LINK_FLOW_IDLE_US;
    assert_int_equal(RpLinkFlows_Outstanding(flows, idle - 1, 2),
                     9 * SEGMENT + 100);
    assert_int_equal(RpLinkFlows_Outstanding(flows, idle, 2), 0);
    RpLinkFlows_Free(flows);
}

/* The network shuffles a window: the request's size is learned all the same,
 * and copies among its segments do not count. A sequence number that is far
 * off counts as one segment. */
static void
test_reordered(void **state)
{
    static const uint32_t order[] = {5, 0, 1, 9, 9, 2, 3, 5, 4, 8, 7, 6};
    struct rp_link_flows *flows = RpLinkFlows_Create();
    struct rp_flow_key key = flow;

    (void)state;
    count(flows, 0, key, RP_TCP_SYN, 1, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        count(flows, 0, key, RP_TCP_ACK, 2 + order[i] * 1000, 1000);
    }
    count(flows, 0, key, RP_TCP_FIN | RP_TCP_ACK, 10002, 0);
    assert_int_equal(mean_size(flows, key), 10 * SEGMENT + 200);
    key.dst_port++;
    count(flows, 0, key, RP_TCP_SYN, 1, 0);
    count(flows, 0, key, RP_TCP_ACK, 1u << 30, 1000);
    count(flows, 0, key, RP_TCP_FIN | RP_TCP_ACK, 10002, 0);
    assert_int_equal(mean_size(flows, key), SEGMENT + 200);
    RpLinkFlows_Free(flows);
}

/* Data of an unknown address is short until the flow has sent more than a
 * short request; then, and on each later flow to the address, it is bulk. */
static void
test_classes(void **state)
{
    struct rp_link_flows *flows = RpLinkFlows_Create();
    struct rp_flow_key key = flow;

    (void)state;
    assert_int_equal(count(flows, 0, key, RP_TCP_SYN, 1, 0), RP_EGRESS_URGENT);
    for (uint32_t i = 0; i < 10; i++) {
        assert_int_equal(count(flows, 0, key, RP_TCP_ACK, 2 + i * 1000, 1000),
                         i < 4 ? RP_EGRESS_SHORT : RP_EGRESS_BULK);
    }
    assert_int_equal(count(flows, 0, key, RP_TCP_ACK, 10002, 0),
                     RP_EGRESS_URGENT);
    assert_int_equal(count(flows, 0, key, RP_TCP_FIN | RP_TCP_ACK, 10002, 0),
                     RP_EGRESS_URGENT);
    key.src_port++;
    assert_int_equal(count(flows, 0, key, RP_TCP_ACK, 2, 1000),
                     RP_EGRESS_BULK);
    key.dst_port++;
    assert_int_equal(count(flows, 0, key, RP_TCP_ACK, 2, 1000),
                     RP_EGRESS_SHORT);
    RpLinkFlows_Free(flows);
}

/* A connection that stays open for many short requests is short for ever: each
 * request counts anew, and the first is the sample. */
static void
test_long_lived(void **state)
{
    struct rp_link_flows *flows = RpLinkFlows_Create();
    int64_t now = 0;

    (void)state;
    count(flows, now, flow, RP_TCP_SYN, 1, 0);
    for (uint32_t i = 0; i < 100; i++) {
        assert_int_equal(count(flows, now, flow, RP_TCP_ACK, 2 + i * 300, 300),
                         RP_EGRESS_SHORT);
        now += RP_LINK_FLOW_IDLE_US;
    }
    assert_int_equal(mean_size(flows, flow), SEGMENT + 100);
    RpLinkFlows_Free(flows);
}

/* The mean follows a change of the requests within some 100 of them; a single
 * large one hardly moves it. A flow that is reset teaches nothing. */
static void
test_mean_follows(void **state)
{
    struct rp_link_flows *flows = RpLinkFlows_Create();
    struct rp_flow_key key = flow;

    (void)state;
    for (int i = 0; i < 100; i++) {
        key.src_port++;
        play_request(flows, 0, key, 1);
        count(flows, 0, key, RP_TCP_SYN, 1, 0);
        count(flows, 0, key, RP_TCP_RST, 2, 0);
        count(flows, 0, key, RP_TCP_SYN, 1, 0);
        count(flows, 0, key, RP_TCP_ACK, 20002, 1000);
        count(flows, 0, key, RP_TCP_RST, 21002, 0);
    }
    assert_in_range(mean_size(flows, key), SEGMENT, SEGMENT + 200);
    play_request(flows, 0, key, 50);
    assert_in_range(mean_size(flows, key), 2 * SEGMENT, 3 * SEGMENT);
    for (int i = 0; i < 150; i++) {
        play_request(flows, 0, key, 20);
    }
    assert_in_range(mean_size(flows, key), 19 * SEGMENT, 20 * SEGMENT + 200);
    RpLinkFlows_Free(flows);
}

/* The tables are bounded: the flows that have sent nothing for the longest
 * time make room, and addresses are learned again. */
static void
test_bounds(void **state)
{
    struct rp_link_flows *flows = RpLinkFlows_Create();
    struct rp_flow_key key = flow;

    (void)state;
    play_request(flows, 0, flow, 10);
    for (uint32_t i = 0; i < 2 * RP_LINK_FLOWS_MAX; i++) {
        key.src_ip++;
        count(flows, MS, key, RP_TCP_SYN, 1, 0);
    }
    assert_int_equal(RpLinkFlows_Outstanding(flows, MS, 2),
                     RP_LINK_FLOWS_MAX * UINT64_C(12100));
    for (uint32_t i = 0; i < 2 * RP_LINK_ADDRESSES_MAX; i++) {
        key.dst_ip++;
        play_request(flows, 2 * MS, key, 1);
    }
    assert_int_equal(mean_size(flows, key), SEGMENT + 200);
    assert_int_equal(
        RpLinkFlows_Outstanding(flows, 2 * MS + RP_LINK_FLOW_IDLE_US, 2), 0);
    RpLinkFlows_Free(flows);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_outstanding),  cmocka_unit_test(test_classes),
        cmocka_unit_test(test_reordered),    cmocka_unit_test(test_long_lived),
        cmocka_unit_test(test_mean_follows), cmocka_unit_test(test_bounds),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
