/* The order in which a balancer's packets leave over a thin link. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "check.h"
#include "rp_egress.h"
#include "rp_link_flows.h"

#define MS RP_US_PER_MS
#define THIN_MBPS 2.2
#define HEADER_LEN 72 /* of a Geneve header with three candidates */
#define SEGMENT 1191  /* bytes of payload; 1,231 with the headers */
#define DEVICE_MS 50  /* what a device's queue holds of its link's rate */
#define STEP_US (1 * MS)

static const struct rp_flow_key file_a = {.src_ip = 0x0a090001,
                                          .src_port = 1001,
                                          .dst_ip = 0x0a010001,
                                          .dst_port = 1};
static const struct rp_flow_key file_b = {.src_ip = 0x0a090002,
                                          .src_port = 1002,
                                          .dst_ip = 0x0a010001,
                                          .dst_port = 1};
static const struct rp_flow_key quote = {.src_ip = 0x0a090003,
                                         .src_port = 1003,
                                         .dst_ip = 0x0a010001,
                                         .dst_port = 2};

/* A balancer's queue before a device that loses what exceeds its own. */
struct scene {
    struct rp_link link;
    struct rp_counters counters;
    struct rp_egress *egress;
    struct rp_link_flows *flows;
    struct rp_link device; /* the real link */
    unsigned lost;         /* at the device */
    unsigned refills;
    int64_t last_at; /* when the last packet left */
    GString *left; /* one letter for each packet, the last digit of its port */
};

static void
begin(struct scene *scene, double mbps)
{
    memset(scene, 0, sizeof *scene);
    RpLink_SetRate(&scene->link, mbps);
    RpLink_SetRate(&scene->device, mbps);
    scene->egress = RpEgress_Create(&scene->link, &scene->counters);
    scene->flows = RpLinkFlows_Create();
    scene->left = g_string_new("");
}

static void
end(struct scene *scene)
{
    RpEgress_Free(scene->egress);
    RpLinkFlows_Free(scene->flows);
    g_string_free(scene->left, TRUE);
}

static void
leave(struct scene *scene, int64_t now, struct rp_flow_key key, uint8_t flags,
      size_t len)
{
    if (RpLink_Backlog(&scene->device, now) > DEVICE_MS * MS) {
        scene->lost++;
        return;
    }
    RpLink_Send(&scene->device, now, len, false);
    scene->last_at = now;
    g_string_append_printf(scene->left, "%s%u",
                           flags & RP_TCP_SYN   ? "s"
                           : flags & RP_TCP_RST ? "r"
                                                : "",
                           key.src_port % 10u);
}

static enum rp_egress_verdict
offer(struct scene *scene, int64_t now, struct rp_flow_key key, uint8_t flags,
      uint32_t seq, size_t payload, uint32_t priority)
{
    static const uint8_t header[HEADER_LEN];
    struct test_packet test;

    make_test_packet(&test, key, flags, seq, 1, payload);
    const struct rp_egress_offer wanted = {
        .packet = &test.packet,
        .header = header,
        .header_len = sizeof header,
        .rank = RpLinkFlows_Count(scene->flows, now, &test.packet, priority,
                                  sizeof header + test.packet.len +
                                      RP_LINK_OVERHEAD),
        .priority = priority};
    enum rp_egress_verdict verdict = RpEgress_Offer(scene->egress, now,
                                                    &wanted);
    if (verdict == RP_EGRESS_SEND) {
        leave(scene, now, key, flags, sizeof header + test.packet.len);
    }
    return verdict;
}

/* A caller's window: `count` full segments at once. */
static void
offer_window(struct scene *scene, int64_t now, struct rp_flow_key key,
             uint32_t first, uint32_t count)
{
    for (uint32_t i = first; i < first + count; i++) {
        offer(scene, now, key, RP_TCP_ACK, 2 + i * SEGMENT, SEGMENT, 0);
    }
}

static void
take_all(struct scene *scene, int64_t now,
         struct rp_egress_packet *(*take)(struct rp_egress *, int64_t))
{
    struct rp_egress_packet *packet;

    while ((packet = take(scene->egress, now))) {
        leave(scene, now, packet->key, packet->flags, packet->len);
        g_free(packet);
    }
}

/* Refills the link from `now` until `until`, on a timer that is up to a step
 * late. */
static void
run(struct scene *scene, int64_t now, int64_t until)
{
    for (; now <= until; now += STEP_US) {
        if (RpEgress_NextRefill(scene->egress) <= now) {
            take_all(scene, now, RpEgress_Take);
            scene->refills++;
        }
    }
}

static uint64_t
count_of(const struct scene *scene, enum rp_counter counter)
{
    return scene->counters.value[counter];
}

/* Lets the queue learn that requests to the files' address are bulk. */
static void
learn_bulk(struct scene *scene)
{
    struct rp_flow_key key = file_a;

    key.src_port = 999;
    offer(scene, 0, key, RP_TCP_SYN, 1, 0, 0);
    offer_window(scene, 0, key, 0, 16);
    run(scene, 0, 200 * MS);
    offer(scene, 200 * MS, key, RP_TCP_FIN | RP_TCP_ACK, 2 + 16 * SEGMENT, 0,
          0);
    g_string_truncate(scene->left, 0);
    scene->refills = 0;
    assert_int_equal(scene->lost, 0);
}

/* One file's window arrives at once: without the queue, its last packets would
 * be lost on the link. With it, all leave in order, and few wake-ups do. */
static void
test_one_file(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, THIN_MBPS);
    offer(&scene, 0, file_a, RP_TCP_SYN, 1, 0, 0);
    offer_window(&scene, 5 * MS, file_a, 0, 16);
    run(&scene, 5 * MS, 1000 * MS);
    assert_string_equal(scene.left->str, "s11111111"
                                         "111111111");
    assert_int_equal(scene.lost, 0);
    assert_int_equal(RpEgress_Count(scene.egress), 0);
    assert_int_equal(RpEgress_Bytes(scene.egress), 0);
    assert_true(RpEgress_NextRefill(scene.egress) == RP_NEVER);
    assert_in_range(scene.refills, 1, 4);
    /* The link never ran dry: 17 packets of 5 ms, less what it still has. */
    assert_in_range(scene.last_at, 50 * MS, 85 * MS);
    end(&scene);
}

/* The same on a wide link: nothing waits. */
static void
test_wide_link(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, 100);
    offer_window(&scene, 0, file_a, 0, 16);
    offer_window(&scene, 0, file_b, 0, 16);
    assert_int_equal(scene.left->len, 32);
    assert_int_equal(count_of(&scene, RP_COUNT_EGRESS_WAITED), 0);
    end(&scene);
}

/* Two files, with short requests between: the files take turns, and openings
 * and quotes do not wait for them. */
static void
test_two_files_and_quotes(void **state)
{
    struct scene scene;
    int64_t start = 1000 * MS;

    (void)state;
    begin(&scene, THIN_MBPS);
    learn_bulk(&scene);
    offer_window(&scene, start, file_a, 0, 10);
    offer_window(&scene, start, file_b, 0, 4);
    offer(&scene, start + 1, quote, RP_TCP_SYN, 1, 0, 0);
    run(&scene, start + 1, start + 20 * MS);
    offer(&scene, start + 20 * MS, quote, RP_TCP_ACK, 2, 900, 0);
    run(&scene, start + 20 * MS, start + 1000 * MS);
    /* Seven segments fill the link. The SYN and the quote are first when it
     * has room again; then the files take turns. */
    assert_string_equal(scene.left->str, "1111111"
                                         "s33"
                                         "1212122");
    assert_int_equal(scene.lost, 0);
    end(&scene);
}

static const struct {
    const char *what;
    uint8_t flags;
    uint32_t seq;
    size_t payload;
    bool dropped;
} copies[] = {
    {"same segment", RP_TCP_ACK, 2 + 12 * SEGMENT, SEGMENT, true},
    {"next segment", RP_TCP_ACK, 2 + 16 * SEGMENT, SEGMENT, false},
    {"other length", RP_TCP_ACK, 2 + 12 * SEGMENT, 100, false},
    {"one that has left", RP_TCP_ACK, 2, SEGMENT, false},
    {"acknowledgement", RP_TCP_ACK, 2 + 12 * SEGMENT, 0, false},
};

/* A caller repeats a segment after 200 ms. If the first copy still waits, the
 * second would only make the queue longer. */
static void
test_copies(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
        struct scene scene;
        print_message("%s\n", copies[i].what);
        begin(&scene, THIN_MBPS);
        offer_window(&scene, 0, file_a, 0, 16);
        assert_int_equal(offer(&scene, 0, file_a, copies[i].flags,
                               copies[i].seq, copies[i].payload, 0),
                         copies[i].dropped ? RP_EGRESS_DROPPED
                                           : RP_EGRESS_KEPT);
        assert_int_equal(count_of(&scene, RP_COUNT_DROP_EGRESS_COPY),
                         copies[i].dropped);
        end(&scene);
    }
}

/* A caller resets its flow: what it sent before is of no use. The reset goes
 * to the agent; other flows stay. */
static void
test_reset_of_caller(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, THIN_MBPS);
    offer_window(&scene, 0, file_a, 0, 10);
    offer_window(&scene, 0, file_b, 0, 2);
    offer(&scene, 1, file_a, RP_TCP_RST, 2 + 10 * SEGMENT, 0, 0);
    run(&scene, 1, 1000 * MS);
    assert_string_equal(scene.left->str, "1111111"
                                         "r122");
    assert_int_equal(count_of(&scene, RP_COUNT_DROP_EGRESS_RESET), 3);
    end(&scene);
}

/* What has waited until its caller has repeated it or given up is dropped. */
static void
test_ages(void **state)
{
    struct scene scene;
    int64_t late = RP_EGRESS_SYN_LIFETIME_US;

    (void)state;
    begin(&scene, THIN_MBPS);
    offer_window(&scene, 0, file_a, 0, 8);
    offer(&scene, 0, quote, RP_TCP_SYN, 1, 0, 0);
    take_all(&scene, late, RpEgress_Take);
    assert_string_equal(scene.left->str, "11111111");
    assert_int_equal(count_of(&scene, RP_COUNT_DROP_EGRESS_LATE), 1);
    offer_window(&scene, late, file_a, 8, 8);
    take_all(&scene, late + RP_EGRESS_LIFETIME_US, RpEgress_Take);
    assert_int_equal(RpEgress_Count(scene.egress), 0);
    assert_int_equal(count_of(&scene, RP_COUNT_DROP_EGRESS_LATE),
                     count_of(&scene, RP_COUNT_EGRESS_WAITED) - 1);
    end(&scene);
}

/* The queue is full of bulk: more bulk is dropped, a short request takes the
 * place of the bulk that came last. */
static void
test_full(void **state)
{
    struct scene scene;
    unsigned kept = 0;

    (void)state;
    begin(&scene, THIN_MBPS);
    learn_bulk(&scene);
    for (uint32_t i = 0; i < 2 * RP_EGRESS_MAX_PACKETS; i++) {
        struct rp_flow_key key = file_a;
        key.src_port = (uint16_t)(2000 + i);
        kept += offer(&scene, 1000 * MS, key, RP_TCP_ACK, 2, SEGMENT, 0) ==
                RP_EGRESS_KEPT;
    }
    assert_int_equal(RpEgress_Count(scene.egress), kept);
    assert_true(kept <= RP_EGRESS_MAX_PACKETS);
    assert_true(RpEgress_Bytes(scene.egress) <= RP_EGRESS_MAX_BYTES);
    assert_true(RpEgress_Bytes(scene.egress) >
                RP_EGRESS_MAX_BYTES - 2 * SEGMENT);
    uint64_t dropped = count_of(&scene, RP_COUNT_DROP_EGRESS_FULL);
    assert_int_equal(
        offer(&scene, 1000 * MS, file_b, RP_TCP_ACK, 2, SEGMENT, 0),
        RP_EGRESS_DROPPED);
    assert_int_equal(
        offer(&scene, 1000 * MS, quote, RP_TCP_ACK, 2, SEGMENT, 0),
        RP_EGRESS_KEPT);
    assert_int_equal(RpEgress_Count(scene.egress), kept);
    assert_int_equal(count_of(&scene, RP_COUNT_DROP_EGRESS_FULL), dropped + 2);
    end(&scene);
}

/* Within a class, the addresses' priorities decide. */
static void
test_priorities(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, THIN_MBPS);
    offer_window(&scene, 0, file_a, 0, 8);
    for (uint32_t priority = 5; priority > 0; priority--) {
        struct rp_flow_key key = quote;
        key.src_port = (uint16_t)(2000 + priority);
        offer(&scene, 1, key, RP_TCP_ACK, 2, 900, priority);
    }
    run(&scene, 1, 1000 * MS);
    assert_string_equal(scene.left->str, "1111111"
                                         "12543"
                                         "1");
    end(&scene);
}

/* A process that stops sends what waits, though the link may lose some. */
static void
test_stop(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, THIN_MBPS);
    offer_window(&scene, 0, file_a, 0, 16);
    take_all(&scene, 1, RpEgress_TakeAny);
    assert_int_equal(RpEgress_Count(scene.egress), 0);
    assert_int_equal(scene.left->len + scene.lost, 16);
    end(&scene);
}

/* Without a valid rate, a balancer sends packets as they come. */
static void
test_odd_rates(void **state)
{
    static const double rates[] = {
        0, -1, NAN, INFINITY, -INFINITY, 1e-9, RP_LINK_MAX_MBPS * 2.0};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct scene scene;
        begin(&scene, rates[i]);
        assert_false(RpLink_IsLimited(&scene.link));
        for (int n = 0; n < 10; n++) {
            offer_window(&scene, 0, file_a, 0, 16);
        }
        assert_int_equal(scene.left->len, 160);
        assert_int_equal(RpLink_Backlog(&scene.link, 0), 0);
        end(&scene);
    }
}

/* The shares of the link are measured, and forgotten when nothing is sent. */
static void
test_shares(void **state)
{
    struct rp_link link = {0};
    size_t quarter = 6250 - RP_LINK_OVERHEAD;

    (void)state;
    assert_true(RpLink_SetRate(&link, 1));
    for (int64_t now = 0; now <= 10 * RP_US_PER_SECOND; now += 100 * MS) {
        RpLink_Send(&link, now, quarter, true);
        RpLink_Send(&link, now, quarter, false);
    }
    assert_in_range(link.percent, 98, 100);
    assert_in_range(link.urgent_percent, 49, 50);
    RpLink_Measure(&link, 20 * RP_US_PER_SECOND);
    assert_int_equal(link.percent, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_file),
        cmocka_unit_test(test_wide_link),
        cmocka_unit_test(test_two_files_and_quotes),
        cmocka_unit_test(test_copies),
        cmocka_unit_test(test_reset_of_caller),
        cmocka_unit_test(test_ages),
        cmocka_unit_test(test_full),
        cmocka_unit_test(test_priorities),
        cmocka_unit_test(test_stop),
        cmocka_unit_test(test_odd_rates),
        cmocka_unit_test(test_shares),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
