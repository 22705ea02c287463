/* Tests of service documents, the catalogue and the registry. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_catalog.h"
#include "rp_registry.h"

#define LENS "[service]\nname = lens-desk\naddress = 10.80.0.1:7000\n"
#define SHELF "[service]\nname = photo-shelf\naddress = 10.80.0.2:7000\n"
#define LENS_MOVED "[service]\nname = lens-desk\naddress = 10.80.0.9:7000\n"
#define SHELF_ON_LENS                                                         \
    "[service]\nname = photo-shelf\naddress = 10.80.0.1:7000\n"

static void
test_documents(void **state)
{
    /* Documents, and the findings that each must produce, in order. */
    static const struct {
        const char *text;
        const char *expected;
    } cases[] = {
        {LENS, ""},
        {LENS "# done\n\n[limits]\nflows-per-upstream = 5  # few\n", ""},
        {"", "line 0: [service] has no name\n"
             "line 0: [service] has no address\n"},
        {"[service]\nname = Lens\naddress = there\n[limits]\n"
         "retries-percent = 101\nflows-per-upstream = 0\n",
         "line 2: name must have 1 to 63 characters a-z, 0-9 and -, and must "
         "not start or end with -\n"
         "line 3: address must have the form a.b.c.d:port\n"
         "line 6: flows-per-upstream must be a number from 1 to 1000000\n"
         "line 5: retries-percent must be a number from 0 to 100\n"},
        {LENS "colour = red\nname = two\nnonsense\n[shop]\nx = 1\n[bad\n",
         "line 4: unknown key colour in [service]\n"
         "line 5: name is already set in line 2\n"
         "line 6: expected [group] or key = value\n"
         "line 7: unknown group [shop]\n"
         "line 9: group must have the form [name]\n"},
        {LENS "[cold-start]\nseconds = 2.5\nflows-per-second = 0.125\n", ""},
        {LENS "[cold-start]\nseconds = 86401\nflows-per-second = -1\n",
         "line 5: seconds must be a number from 0 to 86400 with at most three "
         "digits after the point\n"
         "line 6: flows-per-second must be a number from 0 to 10000 with at "
         "most three digits after the point\n"},
        {LENS "[cold-start]\nseconds = 2.\nflows-per-second = 1.0005\n",
         "line 5: seconds must be a number from 0 to 86400 with at most three "
         "digits after the point\n"
         "line 6: flows-per-second must be a number from 0 to 10000 with at "
         "most three digits after the point\n"},
        {LENS "[cold-start]\nflows-per-second = .5\nseconds = soon\n",
         "line 6: seconds must be a number from 0 to 86400 with at most three "
         "digits after the point\n"
         "line 5: flows-per-second must be a number from 0 to 10000 with at "
         "most three digits after the point\n"},
        {"name = early\n" LENS, "line 1: key before the first group\n"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_document document;
        struct rp_error error;
        GString *text = g_string_new(NULL);
        RpError_Init(&error);
        enum rp_code code = RpDocument_Parse(RpStr_FromC(cases[i].text),
                                             &document, &error);
        RpError_Format(&error, text);
        assert_string_equal(text->str, cases[i].expected);
        assert_int_equal(code, text->len ? RP_ERR_DOCUMENT : RP_OK);
        RpError_Clear(&error);
        g_string_free(text, TRUE);
    }
}

static void
test_cold_start_of_documents(void **state)
{
    struct rp_document document;

    (void)state;
    assert_int_equal(RpDocument_Parse(RpStr_FromC(LENS), &document, NULL),
                     RP_OK);
    assert_int_equal(document.warmup_ms, 0);
    assert_int_equal(document.cold_per_1000_s, 0);
    assert_int_equal(
        RpDocument_Parse(RpStr_FromC(LENS "[cold-start]\nseconds = 2.5\n"
                                          "flows-per-second = 0.125\n"),
                         &document, NULL),
        RP_OK);
    assert_int_equal(document.warmup_ms, 2500);
    assert_int_equal(document.cold_per_1000_s, 125);
}

/* A change, and the reply that it must get. */
struct change_case {
    uint8_t id;
    const char *document; /* NULL: delete `service` */
    const char *service;
    int base; /* revision that the change is based on; -1: none */
    enum rp_code code;
    uint64_t revision;
    bool repeated;
};

static void
apply_change_case(struct rp_catalog *catalog,
                  const struct change_case *change_case)
{
    struct rp_msg_change change = {
        .id = {change_case->id},
        .kind = change_case->document ? RP_CHANGE_APPLY : RP_CHANGE_DELETE,
        .has_base = change_case->base >= 0,
        .base = (uint64_t)change_case->base};
    struct rp_msg_change_reply reply = {0};

    RpName_Set(&change.service, RpStr_FromC(change_case->service));
    change.document = g_string_new(change_case->document);
    GString *command = RpCatalog_EncodeChange(&change);
    assert_int_equal(RpCatalog_Apply(catalog,
                                     (struct rp_str){.data = command->str,
                                                     .len = command->len},
                                     &reply),
                     RP_OK);
    assert_int_equal(reply.code, change_case->code);
    assert_int_equal(reply.revision, change_case->revision);
    assert_int_equal(reply.repeated, change_case->repeated);
    g_string_free(command, TRUE);
    RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
    RpSchema_Clear(&rp_msg_change_schema, &change);
}

static void
release(struct rp_catalog *catalog, uint64_t revision)
{
    GString *command = RpCatalog_EncodeRelease(revision);

    RpCatalog_Apply(catalog,
                    (struct rp_str){.data = command->str, .len = command->len},
                    NULL);
    g_string_free(command, TRUE);
}

static const struct change_case changes[] = {
    {1, LENS, "", 0, RP_OK, 1, false},
    {2, SHELF, "photo-shelf", -1, RP_OK, 2, false},
    /* A change that is sent again gets the first reply and is not applied. */
    {1, LENS, "", 0, RP_OK, 1, true},
    /* Of two changes based on the same revision, the second is refused. */
    {3, LENS "# a\n", "", 1, RP_OK, 3, false},
    {4, LENS "# b\n", "", 1, RP_ERR_CONFLICT, 3, false},
    {4, LENS "# b\n", "", 1, RP_ERR_CONFLICT, 3, true},
    /* Another service's address is refused while that service uses it, and
     * while it is quarantined. */
    {5, SHELF_ON_LENS, "", -1, RP_ERR_DOCUMENT, 0, false},
    {6, LENS_MOVED, "", 3, RP_OK, 4, false},
    {7, SHELF_ON_LENS, "", -1, RP_ERR_DOCUMENT, 0, false},
    /* A service may take its own quarantined address back. */
    {8, LENS, "", 4, RP_OK, 5, false},
    {9, LENS, "photo-shelf", -1, RP_ERR_DOCUMENT, 0, false},
    {10, NULL, "nobody", -1, RP_ERR_NOT_FOUND, 0, false},
    {11, NULL, "lens-desk", 3, RP_ERR_CONFLICT, 5, false},
    {12, NULL, "lens-desk", 5, RP_OK, 6, false},
    {13, SHELF_ON_LENS, "", 2, RP_ERR_DOCUMENT, 0, false},
};

static void
test_catalog_changes(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        apply_change_case(catalog, &changes[i]);
    }
    assert_int_equal(RpCatalog_QuarantineRevision(catalog), 6);
    release(catalog, 6);
    assert_int_equal(RpCatalog_QuarantineRevision(catalog), 0);
    apply_change_case(catalog, &(struct change_case){14, SHELF_ON_LENS, "", 2,
                                                     RP_OK, 7, false});
    RpCatalog_Free(catalog);
}

/* After each change, a catalogue that is restored from a snapshot must reply
 * to the next change, and store its state, exactly as the original does. */
static void
test_restore_after_each_change(void **state)
{
    struct rp_catalog *first = RpCatalog_Create();
    struct rp_catalog *second = RpCatalog_Create();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        GString *before = RpCatalog_Snapshot(first);
        assert_int_equal(
            RpCatalog_Restore(second, (struct rp_str){.data = before->str,
                                                      .len = before->len}),
            RP_OK);
        apply_change_case(first, &changes[i]);
        apply_change_case(second, &changes[i]);
        GString *left = RpCatalog_Snapshot(first);
        GString *right = RpCatalog_Snapshot(second);
        assert_true(g_string_equal(left, right));
        g_string_free(before, TRUE);
        g_string_free(left, TRUE);
        g_string_free(right, TRUE);
    }
    RpCatalog_Free(first);
    RpCatalog_Free(second);
}

static struct rp_msg_announce
make_announce(uint64_t incarnation, uint64_t sequence,
              enum rp_upstream_state state)
{
    struct rp_msg_announce announce = {.agent_ip = 1,
                                       .agent_port = 2,
                                       .slots = 7,
                                       .state = (uint8_t)state,
                                       .incarnation = incarnation,
                                       .sequence = sequence,
                                       .lease_ms = 2000};

    RpName_Set(&announce.upstream, RP_STR("upstream-1"));
    RpName_Set(&announce.service, RP_STR("lens-desk"));
    return announce;
}

/* The pattern of a loss of all power after hosts have left: their agents start
 * again beside no host. An agent that has not heard its host keeps an upstream
 * that is known, so that a host which lives on beside it stays reachable, but
 * never adds or revives one. */
static void
test_registry_unheard(void **state)
{
    struct rp_registry *registry = RpRegistry_Create();
    struct rp_msg_announce unheard = make_announce(9, 1, RP_UPSTREAM_UNHEARD);
    struct rp_msg_announce resolved;

    (void)state;
    assert_int_equal(RpRegistry_Merge(registry, 0, &unheard, NULL),
                     RP_REGISTRY_REFUSED);
    assert_false(RpRegistry_ResolveUnheard(registry, &unheard, &resolved));
    /* The agent of a known upstream has been replaced. */
    static const enum rp_upstream_state states[] = {
        RP_UPSTREAM_READY, RP_UPSTREAM_DRAINING, RP_UPSTREAM_GONE};
    for (uint64_t i = 0; i < G_N_ELEMENTS(states); i++) {
        struct rp_msg_announce known = make_announce(5, 1 + i, states[i]);
        assert_int_equal(RpRegistry_Merge(registry, 0, &known, NULL),
                         RP_REGISTRY_CHANGED);
        assert_int_equal(
            RpRegistry_ResolveUnheard(registry, &unheard, &resolved),
            states[i] != RP_UPSTREAM_GONE);
        assert_int_equal(resolved.state, RP_UPSTREAM_DRAINING);
        assert_int_equal(resolved.incarnation, 9);
    }
    /* The machine has been given to another service meanwhile. */
    struct rp_msg_announce back = make_announce(6, 1, RP_UPSTREAM_READY);
    RpRegistry_Merge(registry, 0, &back, NULL);
    assert_true(RpRegistry_ResolveUnheard(registry, &unheard, &resolved));
    RpName_Set(&unheard.service, RP_STR("photo-shelf"));
    assert_false(RpRegistry_ResolveUnheard(registry, &unheard, &resolved));
    RpRegistry_Free(registry);
}

static void
test_registry_leases(void **state)
{
    static const struct {
        int64_t now_ms;
        uint64_t incarnation;
        uint64_t sequence;
        enum rp_upstream_state state;
        enum rp_registry_change change;
    } cases[] = {
        {0, 5, 1, RP_UPSTREAM_READY, RP_REGISTRY_CHANGED},
        {500, 5, 2, RP_UPSTREAM_READY, RP_REGISTRY_RENEWED},
        {600, 5, 2, RP_UPSTREAM_READY, RP_REGISTRY_STALE},
        {700, 5, 1, RP_UPSTREAM_DRAINING, RP_REGISTRY_STALE},
        {800, 4, 9, RP_UPSTREAM_READY, RP_REGISTRY_STALE},
        {900, 5, 3, RP_UPSTREAM_DRAINING, RP_REGISTRY_CHANGED},
        {1000, 6, 1, RP_UPSTREAM_READY, RP_REGISTRY_CHANGED},
        {1100, 6, 2, RP_UPSTREAM_LOST, RP_REGISTRY_REFUSED},
    };
    struct rp_registry *registry = RpRegistry_Create();
    struct rp_msg_announce expired;

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_msg_announce announce = make_announce(
            cases[i].incarnation, cases[i].sequence, cases[i].state);
        assert_int_equal(RpRegistry_Merge(registry,
                                          cases[i].now_ms * RP_US_PER_MS,
                                          &announce, NULL),
                         cases[i].change);
    }
    int64_t end = 3000 * RP_US_PER_MS;
    assert_false(RpRegistry_Expire(registry, end - 1, &expired));
    assert_true(RpRegistry_Expire(registry, end, &expired));
    assert_string_equal(expired.service.data, "lens-desk");
    assert_int_equal(expired.state, RP_UPSTREAM_LOST);
    assert_false(RpRegistry_Expire(registry, end, &expired));
    struct rp_name name;
    RpName_Set(&name, RP_STR("upstream-1"));
    assert_int_equal(RpRegistry_Find(registry, &name)->state,
                     RP_UPSTREAM_LOST);
    /* A new announcement makes a LOST upstream READY again. */
    struct rp_msg_announce back = make_announce(6, 3, RP_UPSTREAM_READY);
    assert_int_equal(RpRegistry_Merge(registry, end + 1, &back, NULL),
                     RP_REGISTRY_CHANGED);
    /* An upstream that stays LOST is removed. */
    end += 2001 * RP_US_PER_MS;
    assert_true(RpRegistry_Expire(registry, end, &expired));
    assert_true(RpRegistry_Expire(
        registry, end + RP_REGISTRY_LOST_RETENTION_US, &expired));
    assert_null(RpRegistry_Find(registry, &name));
    RpRegistry_Free(registry);
}

/* The pattern of a control process that was stopped or suspended for seconds:
 * when it wakes, every lease is over, and the announcements that renew them
 * are still unread. No upstream may be given up for that. */
static void
test_registry_pause(void **state)
{
    struct rp_registry *registry = RpRegistry_Create();
    struct rp_msg_announce near = make_announce(1, 1, RP_UPSTREAM_READY);
    struct rp_msg_announce far = make_announce(1, 1, RP_UPSTREAM_READY);
    struct rp_msg_announce expired;
    struct rp_name other;
    int64_t woken = 30 * RP_US_PER_SECOND;

    (void)state;
    RpName_Set(&other, RP_STR("control-2"));
    RpName_Set(&far.upstream, RP_STR("upstream-far"));
    RpRegistry_Merge(registry, 0, &near, NULL);
    RpRegistry_Merge(registry, 0, &far, &other);
    RpRegistry_RecordPause(registry, woken, woken);
    assert_false(RpRegistry_Expire(registry, woken, &expired));
    assert_false(
        RpRegistry_Expire(registry, woken + 1999 * RP_US_PER_MS, &expired));
    /* An agent that is really gone is lost after its lease. */
    assert_true(
        RpRegistry_Expire(registry, woken + 2000 * RP_US_PER_MS, &expired));
    assert_string_equal(expired.upstream.data, "upstream-1");
    assert_false(
        RpRegistry_Expire(registry, woken + 2000 * RP_US_PER_MS, &expired));
    RpRegistry_Free(registry);
}

/* An upstream that another replica forwarded stays valid while messages from
 * that replica arrive, even if the lease has expired. While this replica
 * is cut off, forwarded upstreams do not expire. */
static void
test_registry_forwarded(void **state)
{
    struct rp_registry *registry = RpRegistry_Create();
    struct rp_msg_announce near = make_announce(1, 1, RP_UPSTREAM_READY);
    struct rp_msg_announce far = make_announce(1, 1, RP_UPSTREAM_READY);
    struct rp_msg_announce expired;
    struct rp_name other;
    int64_t hour = 3600 * RP_US_PER_SECOND;

    (void)state;
    RpName_Set(&other, RP_STR("control-2"));
    RpName_Set(&far.upstream, RP_STR("upstream-far"));
    RpRegistry_Merge(registry, 0, &near, NULL);
    RpRegistry_Merge(registry, 0, &far, &other);
    RpRegistry_SetCutOff(registry, RP_US_PER_SECOND, true);
    assert_true(RpRegistry_Expire(registry, hour, &expired));
    assert_string_equal(expired.upstream.data, "upstream-1");
    assert_false(RpRegistry_Expire(registry, hour, &expired));
    /* After the partition, the upstream stays valid for
     * RP_REGISTRY_RECONNECT_US, and for as long again after each message from
     * the other replica. */
    RpRegistry_SetCutOff(registry, hour, false);
    assert_false(RpRegistry_Expire(
        registry, hour + RP_REGISTRY_RECONNECT_US - 1, &expired));
    RpRegistry_RecordReplicaMessage(registry, hour + RP_US_PER_SECOND, &other);
    assert_false(RpRegistry_Expire(registry, hour + RP_REGISTRY_RECONNECT_US,
                                   &expired));
    assert_true(RpRegistry_Expire(
        registry, hour + RP_REGISTRY_RECONNECT_US + RP_US_PER_SECOND,
        &expired));
    assert_string_equal(expired.upstream.data, "upstream-far");
    assert_int_equal(expired.state, RP_UPSTREAM_LOST);
    /* Its agent has connected to this replica, so the change must be
     * forwarded to the others. */
    far.sequence = 2;
    assert_int_equal(RpRegistry_Merge(registry, hour, &far, NULL),
                     RP_REGISTRY_CHANGED);
    /* Only a replica may report that the lease has expired. The state LOST is
     * newer than READY at the same sequence number, but a later announcement
     * of the agent replaces it. */
    far.state = RP_UPSTREAM_LOST;
    assert_int_equal(RpRegistry_Merge(registry, hour, &far, NULL),
                     RP_REGISTRY_REFUSED);
    assert_int_equal(RpRegistry_Merge(registry, hour, &far, &other),
                     RP_REGISTRY_CHANGED);
    far.state = RP_UPSTREAM_READY;
    assert_int_equal(RpRegistry_Merge(registry, hour, &far, &other),
                     RP_REGISTRY_STALE);
    far.sequence = 3;
    assert_int_equal(RpRegistry_Merge(registry, hour, &far, &other),
                     RP_REGISTRY_CHANGED);
    RpRegistry_Free(registry);
}

/* Merging the same announcements in any order and any number of times must
 * give the same state. */
static void
test_registry_merge_order(void **state)
{
    struct rp_msg_announce announces[12];

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(announces); i++) {
        announces[i] = make_announce(1 + i % 3, 1 + i / 3,
                                     i % 2 ? RP_UPSTREAM_READY
                                           : RP_UPSTREAM_DRAINING);
        announces[i].slots = 1 + (uint32_t)(i % 4);
    }
    for (guint32 seed = 0; seed < 500; seed++) {
        GRand *rng = g_rand_new_with_seed(seed);
        struct rp_registry *registry = RpRegistry_Create();
        struct rp_name name;
        for (size_t i = 0; i < 24; i++) {
            RpRegistry_Merge(registry, 0,
                             &announces[g_rand_int_range(rng, 0, 12)], NULL);
        }
        for (size_t i = 0; i < G_N_ELEMENTS(announces); i++) {
            RpRegistry_Merge(registry, 0, &announces[i], NULL);
        }
        RpName_Set(&name, RP_STR("upstream-1"));
        const struct rp_upstream *merged = RpRegistry_Find(registry, &name);
        assert_int_equal(merged->last_announce.incarnation, 3);
        assert_int_equal(merged->last_announce.sequence, 4);
        RpRegistry_Free(registry);
        g_rand_free(rng);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_documents),
        cmocka_unit_test(test_cold_start_of_documents),
        cmocka_unit_test(test_catalog_changes),
        cmocka_unit_test(test_restore_after_each_change),
        cmocka_unit_test(test_registry_unheard),
        cmocka_unit_test(test_registry_leases),
        cmocka_unit_test(test_registry_pause),
        cmocka_unit_test(test_registry_forwarded),
        cmocka_unit_test(test_registry_merge_order),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
