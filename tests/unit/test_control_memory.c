/* The memory of a control leader with a large configuration that changes
 * often, against the budget of the smallest machine. */
#include <glib/gstdio.h>
#include <malloc.h>

#include "check.h"
#include "control_replica.h"
#include "rp_clock.h"
#include "rp_distribution.h"
#include "rp_registry.h"

#define ADDRESSES 1450   /* in the configuration */
#define ADDRESS_TEXT 200 /* bytes of the operator's text for one of them */
#define CHANGES 40       /* 20 s at two a second; several compactions */
#define SUBSCRIBERS 74   /* nodes of the deployment */
#define MACHINE_BYTES (80u << 20)
#define BUDGET_BYTES                                                          \
    (MACHINE_BYTES / 2) /* the rest: code, parsing, queues                    \
                         */

struct sent {
    size_t messages;
    size_t bytes;
};

static void
on_send(void *user, uint64_t to, const struct rp_msg *msg)
{
    (void)user;
    (void)to;
    (void)msg;
}

static void
on_applied(void *user, const struct rp_log_entry *entry,
           const struct rp_msg_change_reply *reply)
{
    (void)user;
    (void)entry;
    (void)reply;
}

static void
on_restored(void *user)
{
    (void)user;
}

static void
on_failed(void *user, const struct rp_error *error)
{
    (void)user;
    (void)error;
    fail();
}

static const struct rp_control_replica_ops ops = {.send = on_send,
                                                  .applied = on_applied,
                                                  .restored = on_restored,
                                                  .failed = on_failed};

static void
on_table(void *user, uint64_t connection, const struct rp_msg *msg)
{
    struct sent *sent = user;
    GString *bytes = g_string_new(NULL);

    (void)connection;
    RpMsg_Encode(msg, bytes);
    sent->messages++;
    sent->bytes += bytes->len;
    g_string_free(bytes, TRUE);
}

/* Proposes an edition whose first address differs from the one before. */
static void
propose_edition(struct rp_control_replica *replica, uint64_t version)
{
    struct rp_edition_service service = {.flows_per_upstream = 2000};
    struct rp_edition edition;
    uint64_t index;
    uint64_t term;

    RpName_Set(&service.name, RpStr_FromC("lens"));
    RpEdition_Init(&edition);
    edition.version = version;
    g_array_append_val(edition.services, service);
    for (uint32_t i = 0; i < ADDRESSES; i++) {
        const struct rp_edition_target target = {.service = service.name,
                                                 .weight = 1};
        struct rp_edition_vip vip = {
            .name = g_string_new("route-1234"),
            .address = 0x0a000000 + i,
            .port = 443,
            .timeout_ms = i == 0 ? (uint32_t)version : 1500,
            .target_ms = 150,
            .targets = RpSchema_NewList(&rp_edition_target_schema)};
        g_array_append_val(vip.targets, target);
        g_array_append_val(edition.vips, vip);
    }
    g_string_set_size(edition.content, (gsize)ADDRESSES * ADDRESS_TEXT);
    memset(edition.content->str, 'x', edition.content->len);
    GString *command = RpCatalog_EncodeEdition(&edition);
    assert_int_equal(RpControlReplica_Propose(replica, RpClock_Now(), command,
                                              &index, &term),
                     RP_OK);
    RpControlReplica_RunActions(replica);
    g_string_free(command, TRUE);
    RpEdition_Clear(&edition);
}

static void
subscribe_nodes(struct rp_distribution *distribution)
{
    for (uint64_t i = 1; i <= SUBSCRIBERS; i++) {
        struct rp_msg_hello hello = {.role = RP_ROLE_BALANCER};
        const struct rp_msg_subscribe subscribe = {0};
        gchar *name = g_strdup_printf("node-%u", (unsigned)i);
        RpName_Set(&hello.name, RpStr_FromC(name));
        g_free(name);
        RpDistribution_Subscribe(distribution, RpClock_Now(), i, &hello,
                                 &subscribe);
    }
}

/* Guards against a control leader that outgrows its machine while a large
 * configuration changes twice a second. */
static void
test_leader_stays_within_its_budget(void **state)
{
    const struct rp_replica_member member = {.ip = 1, .port = 1, .voter = 1};
    gchar *folder = g_dir_make_tmp("rp-memory-XXXXXX", NULL);
    struct rp_control_replica *replica = RpControlReplica_Open(
        folder, 0, RpClock_Now(), &ops, NULL, NULL);
    struct rp_registry *registry = RpRegistry_Create();
    struct sent sent = {0};
    struct rp_distribution *distribution = RpDistribution_Create(
        RpControlReplica_Catalog(replica), registry, on_table, &sent);
    size_t before = mallinfo2().uordblks;
    size_t peak = 0;

    (void)state;
    assert_int_equal(RpControlReplica_Create(replica, &member, NULL), RP_OK);
    RpControlReplica_Tick(replica, RpClock_Now() + RP_US_PER_SECOND);
    RpDistribution_SetFresh(distribution, RpClock_Now(), true);
    propose_edition(replica, 1);
    RpDistribution_MarkEditionChanged(distribution, RpClock_Now());
    RpDistribution_Flush(distribution, RP_NEVER - 1);
    subscribe_nodes(distribution);
    RpDistribution_Flush(distribution, RP_NEVER - 1);
    size_t full_table = sent.bytes / SUBSCRIBERS;
    assert_true(full_table > ADDRESSES);
    sent = (struct sent){0};
    for (uint64_t version = 2; version <= CHANGES; version++) {
        propose_edition(replica, version);
        RpDistribution_MarkEditionChanged(distribution, RpClock_Now());
        RpDistribution_Flush(distribution, RP_NEVER - 1);
        peak = MAX(peak, mallinfo2().uordblks - before);
    }
    const struct rp_replica *log = RpControlReplica_Replica(replica);
    print_message("peak %zu bytes: %zu an address; log %zu, snapshot %zu; "
                  "table of a subscriber %zu, update %zu\n",
                  peak, peak / ADDRESSES, (size_t)RpReplica_LogBytes(log),
                  (size_t)RpReplica_SnapshotBytes(log), full_table,
                  sent.bytes / SUBSCRIBERS / (CHANGES - 1));
    assert_true(sent.messages > 0);
    assert_true(peak + SUBSCRIBERS * full_table <= BUDGET_BYTES);
    RpDistribution_Free(distribution);
    RpRegistry_Free(registry);
    RpControlReplica_Close(replica);
    gchar *path = g_build_filename(folder, "journal", NULL);
    g_remove(path);
    g_rmdir(folder);
    g_free(path);
    g_free(folder);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_leader_stays_within_its_budget),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
