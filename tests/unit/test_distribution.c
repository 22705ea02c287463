/* Tests of the distribution: which node is sent which table. Also mutates
 * documents, commands, snapshots and journal files, with fixed seeds. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "check.h"
#include "rp_distribution.h"
#include "rp_journal.h"

#define LENS "[service]\nname = lens-desk\naddress = 10.80.0.1:7000\n"
#define SHELF "[service]\nname = photo-shelf\naddress = 10.80.0.2:7000\n"

struct fixture {
    struct rp_catalog *catalog;
    struct rp_registry *registry;
    struct rp_distribution *distribution;
    /* The messages that were sent, each as
     * "connection:kind services-removed rREVISION;", with " cut-off" if so. */
    GString *sent;
    uint8_t last_change_id;
};

static void
record_message(void *user, uint64_t connection, const struct rp_msg *msg)
{
    struct fixture *fixture = user;
    const struct rp_msg_table *table = &msg->table;

    assert_int_equal(msg->type, RP_MSG_TABLE);
    g_string_append_printf(fixture->sent,
                           "%" G_GUINT64_FORMAT ":%s %u-%u r%" G_GUINT64_FORMAT
                           "%s;",
                           connection, table->complete ? "full" : "update",
                           table->services->len, table->removed->len,
                           table->revision, table->cut_off ? " cut-off" : "");
}

static int
set_up(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    fixture->catalog = RpCatalog_Create();
    fixture->registry = RpRegistry_Create();
    fixture->distribution = RpDistribution_Create(
        fixture->catalog, fixture->registry, record_message, fixture);
    fixture->sent = g_string_new(NULL);
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    struct fixture *fixture = *state;

    RpDistribution_Free(fixture->distribution);
    RpRegistry_Free(fixture->registry);
    RpCatalog_Free(fixture->catalog);
    g_string_free(fixture->sent, TRUE);
    g_free(fixture);
    return 0;
}

/* Applies a document, or deletes the service `name` if `document` is NULL, and
 * tells the distribution. */
static void
apply_change(struct fixture *fixture, int64_t now, const char *document,
             const char *name)
{
    struct rp_msg_change request = {.id = {++fixture->last_change_id},
                                    .kind = document ? RP_CHANGE_APPLY
                                                     : RP_CHANGE_DELETE};
    struct rp_msg_change_reply reply = {0};

    RpName_Set(&request.service, RpStr_FromC(name));
    request.document = g_string_new(document);
    GString *command = RpCatalog_EncodeChange(&request);
    RpCatalog_Apply(fixture->catalog,
                    (struct rp_str){.data = command->str, .len = command->len},
                    &reply);
    assert_int_equal(reply.code, RP_OK);
    if (document) {
        RpDistribution_MarkServiceChanged(fixture->distribution, now,
                                          &reply.service);
    }
    else {
        RpDistribution_MarkServiceRemoved(fixture->distribution, now,
                                          &reply.service, reply.service_id);
    }
    g_string_free(command, TRUE);
    RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
    RpSchema_Clear(&rp_msg_change_schema, &request);
}

static void
subscribe_as(struct fixture *fixture, int64_t now, uint64_t connection,
             enum rp_role role, const char *node, const char *service,
             uint64_t revision)
{
    struct rp_msg_hello hello = {.role = (uint8_t)role};
    struct rp_msg_subscribe subscription = {.revision = revision};

    RpName_Set(&hello.name, RpStr_FromC(node));
    RpName_Set(&subscription.service, RpStr_FromC(service));
    RpDistribution_Subscribe(fixture->distribution, now, connection, &hello,
                             &subscription);
}

static void
subscribe(struct fixture *fixture, int64_t now, uint64_t connection,
          const char *node, const char *service, uint64_t revision)
{
    subscribe_as(fixture, now, connection, RP_ROLE_BALANCER, node, service,
                 revision);
}

/* Flushes at `now` and compares the messages that are sent. */
static void
assert_flush(struct fixture *fixture, int64_t now, const char *expected)
{
    g_string_truncate(fixture->sent, 0);
    RpDistribution_Flush(fixture->distribution, now);
    assert_string_equal(fixture->sent->str, expected);
}

static void
test_tables_and_changes(void **state)
{
    struct fixture *fixture = *state;
    struct rp_distribution *distribution = fixture->distribution;
    int64_t batch = RP_TABLE_BATCH_US;

    RpDistribution_SetFresh(distribution, 0, true);
    apply_change(fixture, 0, LENS, "");
    subscribe(fixture, 0, 1, "balancer-1", "", 0);
    assert_flush(fixture, 0, "1:full 1-0 r1;");
    /* Several changes within the batch time are sent as one message. */
    apply_change(fixture, 1, SHELF, "");
    apply_change(fixture, 2, LENS "# again\n", "");
    assert_flush(fixture, 2, "");
    assert_flush(fixture, batch + 1, "1:update 2-0 r3;");
    /* A node that is subscribed to one service gets an empty update when
     * another service changes, because the revision changes. */
    subscribe(fixture, batch + 2, 2, "agent-1", "lens-desk", 0);
    assert_flush(fixture, batch + 2, "2:full 1-0 r3;");
    apply_change(fixture, batch + 3, NULL, "photo-shelf");
    g_string_truncate(fixture->sent, 0);
    RpDistribution_Flush(distribution, 2 * batch + 3);
    assert_non_null(strstr(fixture->sent->str, "1:update 0-1 r4;"));
    assert_non_null(strstr(fixture->sent->str, "2:update 0-0 r4;"));
}

static void
test_confirmations(void **state)
{
    struct fixture *fixture = *state;
    struct rp_distribution *distribution = fixture->distribution;

    RpDistribution_SetFresh(distribution, 0, true);
    apply_change(fixture, 0, LENS, "");
    subscribe(fixture, 0, 1, "balancer-1", "", 0);
    subscribe(fixture, 0, 2, "balancer-2", "", 0);
    RpDistribution_Flush(distribution, 0);
    assert_int_equal(RpDistribution_LowestConfirmed(distribution), 0);
    RpDistribution_Confirm(distribution, 1, 1, 1);
    assert_int_equal(RpDistribution_LowestConfirmed(distribution), 0);
    RpDistribution_Confirm(distribution, 1, 2, 1);
    assert_int_equal(RpDistribution_LowestConfirmed(distribution), 1);
    /* A late confirmation of an older revision is ignored. */
    RpDistribution_Confirm(distribution, 1, 2, 0);
    assert_int_equal(RpDistribution_LowestConfirmed(distribution), 1);
    /* A disconnected node does not count towards the lowest confirmed
     * revision, which ends quarantines, but it is still listed. */
    apply_change(fixture, 2, SHELF, "");
    RpDistribution_Confirm(distribution, 3, 1, 2);
    RpDistribution_Disconnect(distribution, 3, 2);
    assert_int_equal(RpDistribution_LowestConfirmed(distribution), 2);
    GArray *nodes = RpDistribution_ListNodes(distribution, 4);
    assert_int_equal(nodes->len, 2);
    g_array_free(nodes, TRUE);
    /* But it may still route by the table that it had. */
    assert_int_equal(RpDistribution_LowestRouted(distribution, 4), 1);
    assert_int_equal(
        RpDistribution_LowestRouted(distribution, 3 + RP_NODE_ROUTING_US), 2);
    /* It comes back with that table, and then gets the present one. */
    subscribe(fixture, 5, 3, "balancer-2", "", 1);
    assert_int_equal(RpDistribution_LowestRouted(distribution, 5), 1);
    RpDistribution_Confirm(distribution, 6, 3, 2);
    assert_int_equal(RpDistribution_LowestRouted(distribution, 6), 2);
    /* An agent places no new flows. */
    subscribe_as(fixture, 7, 4, RP_ROLE_AGENT, "up-1", "lens-desk", 0);
    assert_int_equal(RpDistribution_LowestRouted(distribution, 7), 2);
}

/* Which nodes get a full table from a replica that is not fresh, or whose
 * revision is older than the node's. */
static void
test_first_tables(void **state)
{
    static const struct {
        bool fresh;
        enum rp_role role;
        uint64_t confirmed; /* revision that the node runs; 0: none */
        const char *sent;
    } cases[] = {
        {true, RP_ROLE_BALANCER, 0, "1:full 1-0 r1;"},
        {true, RP_ROLE_BALANCER, 1, "1:full 1-0 r1;"},
        {true, RP_ROLE_BALANCER, 9, ""}, /* the replica is behind */
        {false, RP_ROLE_BALANCER, 0, ""},
        {false, RP_ROLE_BALANCER, 1, "1:full 1-0 r1 cut-off;"},
        {false, RP_ROLE_BALANCER, 9, ""},
        /* A replaced agent must serve its host's open flows. */
        {false, RP_ROLE_AGENT, 0, "1:full 1-0 r1 cut-off;"},
        {false, RP_ROLE_AGENT, 9, ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        tear_down(state);
        set_up(state);
        struct fixture *fixture = *state;
        apply_change(fixture, 0, LENS, "");
        RpDistribution_SetFresh(fixture->distribution, 0, cases[i].fresh);
        subscribe_as(fixture, 0, 1, cases[i].role, "node", "",
                     cases[i].confirmed);
        assert_flush(fixture, 0, cases[i].sent);
        /* A withheld table is sent once the replica is fresh. A node that has
         * a table learns that it is no longer cut off. */
        RpDistribution_SetFresh(fixture->distribution, 1, true);
        bool late = cases[i].sent[0] == '\0' && cases[i].confirmed == 0;
        bool was_cut_off = strstr(cases[i].sent, "cut-off") != NULL;
        assert_flush(fixture, 1,
                     late          ? "1:full 1-0 r1;"
                     : was_cut_off ? "1:update 0-0 r1;"
                                   : "");
        RpDistribution_SetFresh(fixture->distribution, 2, false);
        bool has_table = late || cases[i].sent[0] != '\0';
        assert_flush(fixture, 2, has_table ? "1:update 0-0 r1 cut-off;" : "");
    }
}

static GString *
mutate_bytes(const GString *original, GRand *rng)
{
    GString *mutated = g_string_new_len(original->str, (gssize)original->len);
    int changes = g_rand_int_range(rng, 1, 5);

    for (int i = 0; i < changes; i++) {
        gint32 place = g_rand_int_range(rng, 0, (gint32)mutated->len);
        mutated->str[place] = (char)g_rand_int_range(rng, 0, 256);
    }
    g_string_truncate(
        mutated, (gsize)g_rand_int_range(rng, 1, (gint32)mutated->len + 1));
    return mutated;
}

/* The parsers and decoders of documents, commands, snapshots and journal files
 * must not crash on damaged input. */
static void
test_mutations(void **state)
{
    struct fixture *fixture = *state;
    gchar *folder = g_dir_make_tmp("rp-mutation-XXXXXX", NULL);
    gchar *file = g_build_filename(folder, "journal", NULL);
    const struct rp_record record = {.kind = 1, .payload = RP_STR(LENS)};
    struct rp_journal *journal = RpJournal_Open(folder, NULL, NULL);
    GString *document = g_string_new(LENS "[limits]\nretries-percent = 5\n");
    gchar *content;
    gsize len;

    apply_change(fixture, 0, LENS, "");
    apply_change(fixture, 0, SHELF, "");
    GString *snapshot = RpCatalog_Snapshot(fixture->catalog);
    RpJournal_Append(journal, &record);
    RpJournal_Append(journal, &record);
    RpJournal_Sync(journal, NULL);
    RpJournal_Close(journal);
    assert_true(g_file_get_contents(file, &content, &len, NULL));
    GString *stored = g_string_new_len(content, (gssize)len);

    for (guint32 seed = 0; seed < 2000; seed++) {
        GRand *rng = g_rand_new_with_seed(seed);
        GString *mutated = mutate_bytes(document, rng);
        struct rp_document parsed;
        struct rp_error error;
        RpError_Init(&error);
        RpDocument_Parse((struct rp_str){mutated->str, mutated->len}, &parsed,
                         &error);
        RpError_Clear(&error);
        g_string_free(mutated, TRUE);

        mutated = mutate_bytes(snapshot, rng);
        struct rp_catalog *catalog = RpCatalog_Create();
        RpCatalog_Restore(catalog,
                          (struct rp_str){mutated->str, mutated->len});
        RpCatalog_Apply(catalog, (struct rp_str){mutated->str, mutated->len},
                        NULL);
        RpCatalog_Free(catalog);
        g_string_free(mutated, TRUE);

        mutated = mutate_bytes(stored, rng);
        struct rp_journal_report report;
        g_file_set_contents(file, mutated->str, (gssize)mutated->len, NULL);
        RpJournal_Check(folder, &report, NULL);
        g_string_free(mutated, TRUE);
        g_rand_free(rng);
    }
    g_string_free(document, TRUE);
    g_string_free(snapshot, TRUE);
    g_string_free(stored, TRUE);
    g_free(content);
    g_remove(file);
    g_rmdir(folder);
    g_free(file);
    g_free(folder);
}

int
main(void)
{
#define TEST(function)                                                        \
    cmocka_unit_test_setup_teardown(function, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(test_tables_and_changes),
        TEST(test_confirmations),
        TEST(test_first_tables),
        TEST(test_mutations),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
