/* Which new flows a balancer takes, by the room on its outgoing link. */
#include <glib.h>

#include "check.h"
#include "rp_link_admission.h"

#define MS RP_US_PER_MS
#define THIN_MBPS 2.2
#define FILE_SEGMENTS 16
#define SEGMENT_BYTES 1371 /* on the link: 1,231, Geneve and the frame */
#define CALLER 0x0a090001

static const struct rp_vip upload = {.address = {0x0a010001, 1},
                                     .priority = 2,
                                     .target_ms = 800,
                                     .timeout_ms = 4000};
static const struct rp_vip quote = {.address = {0x0a010001, 2},
                                    .priority = 1,
                                    .target_ms = 300,
                                    .timeout_ms = 1500};

struct scene {
    struct rp_link link;
    struct rp_counters counters;
    struct rp_egress *egress;
    struct rp_link_flows *flows;
    struct rp_link_admission *admission;
};

static void
begin(struct scene *scene, double mbps)
{
    *scene = (struct scene){.egress = NULL};
    RpLink_SetRate(&scene->link, mbps);
    scene->egress = RpEgress_Create(&scene->link, &scene->counters);
    scene->flows = RpLinkFlows_Create();
    scene->admission = RpLinkAdmission_Create(&scene->link, scene->egress,
                                              scene->flows);
}

static void
end(struct scene *scene)
{
    RpLinkAdmission_Free(scene->admission);
    RpLinkFlows_Free(scene->flows);
    RpEgress_Free(scene->egress);
}

static struct rp_flow_key
make_key(const struct rp_vip *vip, uint32_t ip, unsigned port)
{
    return (struct rp_flow_key){.src_ip = ip,
                                .src_port = (uint16_t)port,
                                .dst_ip = vip->address.ip,
                                .dst_port = vip->address.port};
}

static void
count(struct scene *scene, int64_t now, const struct rp_vip *vip,
      struct rp_flow_key key, uint8_t flags, uint32_t seq, size_t payload)
{
    struct test_packet test;

    make_test_packet(&test, key, flags, seq, 1, payload);
    RpLinkFlows_Count(scene->flows, now, &test.packet, vip->priority,
                      payload > 0 ? SEGMENT_BYTES : 200);
}

/* Asks whether the first SYN of a caller is taken, and counts it if so. */
static bool
opens(struct scene *scene, int64_t now, const struct rp_vip *vip, uint32_t ip,
      unsigned port)
{
    struct rp_flow_key key = make_key(vip, ip, port);
    struct test_packet test;

    make_test_packet(&test, key, RP_TCP_SYN, 1, 0, 0);
    bool taken = RpLinkAdmission_Takes(scene->admission, now, &test.packet,
                                       vip);
    if (taken) {
        count(scene, now, vip, key, RP_TCP_SYN, 1, 0);
    }
    return taken;
}

/* A whole request, sent as fast as the link allows. */
static void
learn(struct scene *scene, const struct rp_vip *vip, uint32_t segments)
{
    struct rp_flow_key key = make_key(vip, CALLER - 1, 999);

    count(scene, 0, vip, key, RP_TCP_SYN, 1, 0);
    for (uint32_t i = 0; i < segments; i++) {
        count(scene, 0, vip, key, RP_TCP_ACK, 2 + i * 1191, 1191);
    }
    count(scene, 0, vip, key, RP_TCP_FIN | RP_TCP_ACK, 2 + segments * 1191, 0);
}

/* Returns the address of the i-th caller of `vip`. */
static uint32_t
caller_of(const struct rp_vip *vip, unsigned i)
{
    return CALLER + 256u * vip->address.port + i;
}

/* Offers `callers` flows of different callers at once; returns how many are
 * taken. */
static unsigned
crest(struct scene *scene, int64_t now, const struct rp_vip *vip,
      unsigned callers)
{
    unsigned taken = 0;

    for (unsigned i = 0; i < callers; i++) {
        taken += opens(scene, now, vip, caller_of(vip, i), 2000);
    }
    return taken;
}

/* A crest of uploads: only those are taken that can be through in half of
 * their target latency, at 82 ms each. Later, when they have been sent, others
 * are. Quotes are taken all the while. */
static void
test_crest(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, THIN_MBPS);
    learn(&scene, &upload, FILE_SEGMENTS);
    learn(&scene, &quote, 1);
    assert_in_range(RpLinkAdmission_Estimate(scene.admission, 0, &upload),
                    80 * MS, 84 * MS);
    assert_int_equal(crest(&scene, MS, &upload, 20), 4);
    assert_int_equal(crest(&scene, MS, &quote, 20), 20);
    for (unsigned i = 0; i < 4; i++) {
        struct rp_flow_key key = make_key(&upload, caller_of(&upload, i),
                                          2000);
        for (uint32_t n = 0; n < FILE_SEGMENTS; n++) {
            count(&scene, 400 * MS, &upload, key, RP_TCP_ACK, 2 + n * 1191,
                  1191);
        }
    }
    assert_true(opens(&scene, 401 * MS, &upload, CALLER + 99, 2000));
    end(&scene);
}

/* What has no rate, no entry, no target or no known size is not refused, nor
 * is anything on a wide link. */
static void
test_unknown(void **state)
{
    struct scene scene;
    struct rp_vip no_target = upload;
    struct test_packet test;

    (void)state;
    no_target.target_ms = 0;
    begin(&scene, THIN_MBPS);
    assert_int_equal(crest(&scene, 0, &upload, 100), 100);
    learn(&scene, &upload, FILE_SEGMENTS);
    assert_int_equal(crest(&scene, MS, &no_target, 100), 100);
    make_test_packet(&test, make_key(&upload, CALLER, 1), RP_TCP_SYN, 1, 0, 0);
    assert_true(RpLinkAdmission_Takes(scene.admission, 0, &test.packet, NULL));
    end(&scene);
    begin(&scene, 0);
    learn(&scene, &upload, FILE_SEGMENTS);
    assert_int_equal(crest(&scene, MS, &upload, 1000), 1000);
    end(&scene);
    begin(&scene, 100);
    learn(&scene, &upload, FILE_SEGMENTS);
    assert_int_equal(crest(&scene, MS, &upload, 100), 100);
    end(&scene);
}

/* A caller that was refused comes again from another port: it is taken if it
 * can be through by its target at all, not refused twice lightly. After its
 * deadline it counts as a new one. */
static void
test_refused_caller(void **state)
{
    struct scene scene;
    unsigned taken = 0;

    (void)state;
    begin(&scene, THIN_MBPS);
    learn(&scene, &upload, FILE_SEGMENTS);
    assert_int_equal(crest(&scene, MS, &upload, 12), 4);
    for (unsigned i = 4; i < 12; i++) {
        taken += opens(&scene, 2 * MS, &upload, caller_of(&upload, i), 2001);
    }
    /* Up to 800 ms in all: what is sure to be late is refused again. */
    assert_int_equal(taken, 5);
    assert_false(opens(&scene, 2 * MS, &upload, CALLER, 2000));
    assert_false(opens(&scene, 2 * MS, &upload, CALLER, 2001));
    int64_t deadline = 2 * MS + upload.timeout_ms * MS;
    assert_int_equal(crest(&scene, deadline, &upload, 12), 4);
    end(&scene);
}

/* A refusal is true: what may have opened a flow before, a repeated SYN, is
 * taken, however full the link is. */
static void
test_repeated_syn(void **state)
{
    struct scene scene;
    struct test_packet test;

    (void)state;
    begin(&scene, THIN_MBPS);
    learn(&scene, &upload, FILE_SEGMENTS);
    crest(&scene, MS, &upload, 40);
    make_test_packet(&test, make_key(&upload, CALLER, 1), RP_TCP_SYN, 1, 0, 0);
    assert_false(
        RpLinkAdmission_Takes(scene.admission, MS, &test.packet, &upload));
    test.packet.syn_retransmits = 1;
    assert_true(
        RpLinkAdmission_Takes(scene.admission, MS, &test.packet, &upload));
    end(&scene);
}

/* Short requests that leave first make the link narrower for bulk. */
static void
test_urgent_share(void **state)
{
    struct scene scene;

    (void)state;
    begin(&scene, THIN_MBPS);
    learn(&scene, &upload, FILE_SEGMENTS);
    for (int64_t now = 0; now < 5 * RP_US_PER_SECOND; now += 10 * MS) {
        RpLink_Send(&scene.link, now, 1309, true);
    }
    assert_in_range(scene.link.urgent_percent, 48, 50);
    assert_in_range(RpLinkAdmission_Estimate(scene.admission,
                                             5 * RP_US_PER_SECOND, &upload),
                    155 * MS, 165 * MS);
    assert_int_equal(crest(&scene, 5 * RP_US_PER_SECOND, &upload, 20), 2);
    end(&scene);
}

/* Bulk of a lower priority does not count against a higher one. */
static void
test_priorities(void **state)
{
    struct scene scene;
    struct rp_vip important = upload;

    (void)state;
    important.address.port = 3;
    important.priority = 1;
    begin(&scene, THIN_MBPS);
    learn(&scene, &upload, FILE_SEGMENTS);
    learn(&scene, &important, FILE_SEGMENTS);
    assert_int_equal(crest(&scene, MS, &upload, 20), 4);
    assert_int_equal(crest(&scene, MS, &important, 20), 4);
    end(&scene);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_crest),
        cmocka_unit_test(test_unknown),
        cmocka_unit_test(test_refused_caller),
        cmocka_unit_test(test_repeated_syn),
        cmocka_unit_test(test_urgent_share),
        cmocka_unit_test(test_priorities),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
