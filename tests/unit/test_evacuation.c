/* Tests of evacuated data centres: which are in the catalogue after a series
 * of orders, restarts and damaged input, which table tells them to whom, and
 * where a balancer sends new and open flows then. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_balancer.h"
#include "rp_catalog.h"
#include "rp_distribution.h"
#include "rp_table.h"

#define CALLER 0x0a090001u
#define SERVICE 0x0a500001u

static struct rp_str
view(const GString *text)
{
    return (struct rp_str){.data = text->str, .len = text->len};
}

/* Applies an order and returns the reply without its findings. */
static struct rp_msg_change_reply
order(struct rp_catalog *catalog, uint8_t id, enum rp_change_kind kind,
      const char *zone)
{
    struct rp_msg_change change = {.id = {id}, .kind = (uint8_t)kind};
    struct rp_msg_change_reply reply = {0};

    RpName_Set(&change.zone, RpStr_FromC(zone));
    GString *command = RpCatalog_EncodeChange(&change);
    assert_int_equal(RpCatalog_Apply(catalog, view(command), &reply), RP_OK);
    g_string_free(command, TRUE);
    struct rp_msg_change_reply copy = reply;
    copy.findings = NULL;
    RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
    return copy;
}

/* Returns the evacuated data centres, separated by commas. Free it with
 * g_free. */
static gchar *
list_evacuated(const struct rp_catalog *catalog)
{
    GArray *list = RpCatalog_ListEvacuated(catalog);
    GString *out = g_string_new(NULL);

    for (guint i = 0; i < list->len; i++) {
        g_string_append_printf(
            out, "%s%s", i ? "," : "",
            g_array_index(list, struct rp_msg_zone, i).name.data);
    }
    g_array_free(list, TRUE);
    return g_string_free(out, FALSE);
}

static void
assert_evacuated(const struct rp_catalog *catalog, const char *expected)
{
    gchar *list = list_evacuated(catalog);

    assert_string_equal(list, expected);
    g_free(list);
}

/* The orders of two operators in the order of the log: sent twice, taken back
 * twice, repeated late under their ids, and malformed. */
static const struct {
    uint8_t id;
    enum rp_change_kind kind;
    const char *zone;
    enum rp_code code;
    uint64_t revision;
    bool unchanged;
    bool repeated;
    const char *evacuated;
} orders[] = {
    {1, RP_CHANGE_RESTORE, "a", RP_OK, 0, true, false, ""},
    {2, RP_CHANGE_EVACUATE, "b", RP_OK, 1, false, false, "b"},
    {3, RP_CHANGE_EVACUATE, "b", RP_OK, 1, true, false, "b"},
    {4, RP_CHANGE_EVACUATE, "a", RP_OK, 2, false, false, "a,b"},
    {5, RP_CHANGE_RESTORE, "b", RP_OK, 3, false, false, "a"},
    /* Sent again after the other operator's order: answered, not applied. */
    {2, RP_CHANGE_EVACUATE, "b", RP_OK, 1, false, true, "a"},
    {6, RP_CHANGE_RESTORE, "b", RP_OK, 3, true, false, "a"},
    {7, RP_CHANGE_EVACUATE, "", RP_ERR_DOCUMENT, 0, false, false, "a"},
    {8, RP_CHANGE_EVACUATE, "a b", RP_ERR_DOCUMENT, 0, false, false, "a"},
    {8, RP_CHANGE_EVACUATE, "a b", RP_ERR_DOCUMENT, 0, false, true, "a"},
    {9, RP_CHANGE_EVACUATE, "b", RP_OK, 4, false, false, "a,b"},
    {10, RP_CHANGE_RESTORE, "a", RP_OK, 5, false, false, "b"},
};

static void
test_orders(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        struct rp_msg_change_reply reply = order(
            catalog, orders[i].id, orders[i].kind, orders[i].zone);
        assert_int_equal(reply.code, orders[i].code);
        assert_int_equal(reply.revision, orders[i].revision);
        assert_int_equal(reply.unchanged, orders[i].unchanged);
        assert_int_equal(reply.repeated, orders[i].repeated);
        assert_evacuated(catalog, orders[i].evacuated);
    }
    RpCatalog_Free(catalog);
}

/* The pattern of a replica that is lost after any order: one that is restored
 * from a snapshot must go on exactly as the first. */
static void
test_restored_after_each_order(void **state)
{
    struct rp_catalog *first = RpCatalog_Create();
    struct rp_catalog *second = RpCatalog_Create();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        GString *before = RpCatalog_Snapshot(first);
        assert_int_equal(RpCatalog_Restore(second, view(before)), RP_OK);
        order(first, orders[i].id, orders[i].kind, orders[i].zone);
        order(second, orders[i].id, orders[i].kind, orders[i].zone);
        GString *left = RpCatalog_Snapshot(first);
        GString *right = RpCatalog_Snapshot(second);
        assert_true(g_string_equal(left, right));
        g_string_free(before, TRUE);
        g_string_free(left, TRUE);
        g_string_free(right, TRUE);
    }
    RpCatalog_Reset(second);
    assert_evacuated(second, "");
    RpCatalog_Free(first);
    RpCatalog_Free(second);
}

/* A snapshot of an earlier release ends before the data centres. */
static void
test_old_snapshot(void **state)
{
    struct rp_catalog *old = RpCatalog_Create();
    struct rp_catalog *catalog = RpCatalog_Create();
    GString *snapshot = RpCatalog_Snapshot(old);

    (void)state;
    order(catalog, 1, RP_CHANGE_EVACUATE, "a");
    /* An array of 11 fields, the last one an empty list. */
    assert_int_equal((uint8_t)snapshot->str[0], 0x9b);
    assert_int_equal((uint8_t)snapshot->str[snapshot->len - 1], 0x90);
    snapshot->str[0] = (char)0x9a;
    g_string_truncate(snapshot, snapshot->len - 1);
    assert_int_equal(RpCatalog_Restore(catalog, view(snapshot)), RP_OK);
    assert_evacuated(catalog, "");
    assert_int_equal(order(catalog, 2, RP_CHANGE_EVACUATE, "a").code, RP_OK);
    g_string_free(snapshot, TRUE);
    RpCatalog_Free(old);
    RpCatalog_Free(catalog);
}

/* Orders for ever new names: their number stays bounded, and no evacuation is
 * forgotten for that. */
static void
test_number_of_zones_is_bounded(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_name first;
    char name[8];

    (void)state;
    RpName_Set(&first, RP_STR("z0"));
    for (int i = 0; i < RP_CATALOG_MAX_ZONES; i++) {
        g_snprintf(name, sizeof name, "z%d", i);
        order(catalog, (uint8_t)i, RP_CHANGE_EVACUATE, name);
    }
    assert_int_equal(order(catalog, 100, RP_CHANGE_EVACUATE, "one-more").code,
                     RP_ERR_LIMIT);
    order(catalog, 101, RP_CHANGE_RESTORE, "z5");
    order(catalog, 102, RP_CHANGE_RESTORE, "z0");
    /* The one that was restored first gives way. */
    assert_int_equal(order(catalog, 103, RP_CHANGE_EVACUATE, "one-more").code,
                     RP_OK);
    assert_non_null(RpCatalog_FindZone(catalog, &first));
    assert_int_equal(RpCatalog_Zones(catalog)->len, RP_CATALOG_MAX_ZONES);
    RpCatalog_Free(catalog);
}

static void
apply_to_table(void *user, uint64_t connection, const struct rp_msg *msg)
{
    struct rp_table **tables = user;
    GString *bytes = g_string_new(NULL);
    struct rp_msg received;

    RpMsg_Encode(msg, bytes);
    assert_true(RpMsg_Decode(view(bytes), &received));
    RpTable_Apply(tables[connection], &received.table);
    RpMsg_Clear(&received);
    g_string_free(bytes, TRUE);
}

static void
subscribe(struct rp_distribution *distribution, uint64_t connection,
          const char *name, const char *service)
{
    struct rp_msg_hello hello = {.role = RP_ROLE_AGENT};
    struct rp_msg_subscribe subscription = {0};

    RpName_Set(&hello.name, RpStr_FromC(name));
    RpName_Set(&subscription.service, RpStr_FromC(service));
    RpDistribution_Subscribe(distribution, 0, connection, &hello,
                             &subscription);
}

/* Every node learns an order, also an agent whose service the catalogue does
 * not have; a node that connects later has it from its first table on; and a
 * replica that is behind takes nothing back. */
static void
test_every_node_is_told(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_catalog *behind = RpCatalog_Create();
    struct rp_registry *registry = RpRegistry_Create();
    struct rp_table *tables[] = {NULL, RpTable_Create(), RpTable_Create(),
                                 RpTable_Create()};
    struct rp_distribution *distribution = RpDistribution_Create(
        catalog, registry, apply_to_table, tables);
    struct rp_distribution *old = RpDistribution_Create(
        behind, registry, apply_to_table, tables);
    struct rp_name zone;

    (void)state;
    RpName_Set(&zone, RP_STR("a"));
    RpDistribution_SetFresh(distribution, 0, true);
    order(catalog, 1, RP_CHANGE_EVACUATE, "b");
    order(behind, 1, RP_CHANGE_EVACUATE, "b");
    subscribe(distribution, 1, "all", "");
    subscribe(distribution, 2, "one", "nobody");
    RpDistribution_Flush(distribution, 0);
    assert_false(RpTable_IsEvacuated(tables[1], &zone));
    order(catalog, 2, RP_CHANGE_EVACUATE, "a");
    RpDistribution_MarkZonesChanged(distribution, 1);
    RpDistribution_Flush(distribution, 1 + RP_TABLE_BATCH_US);
    subscribe(distribution, 3, "late", "");
    RpDistribution_Flush(distribution, 2 + RP_TABLE_BATCH_US);
    for (size_t i = 1; i < G_N_ELEMENTS(tables); i++) {
        assert_true(RpTable_IsEvacuated(tables[i], &zone));
        assert_int_equal(RpTable_Revision(tables[i]), 2);
    }
    assert_int_equal(RpTable_CountEvacuationChanges(tables[1]), 2);
    /* The node reconnects to a replica that lacks the second order. */
    RpDistribution_SetFresh(old, 0, false);
    subscribe(old, 1, "all", "");
    RpDistribution_Flush(old, 0);
    assert_true(RpTable_IsEvacuated(tables[1], &zone));
    /* An order that changes nothing costs no message. */
    order(catalog, 3, RP_CHANGE_EVACUATE, "a");
    RpDistribution_MarkZonesChanged(distribution, 3 + RP_TABLE_BATCH_US);
    RpDistribution_Flush(distribution, 4 + 2 * RP_TABLE_BATCH_US);
    order(catalog, 4, RP_CHANGE_RESTORE, "a");
    RpDistribution_MarkZonesChanged(distribution, 5 + 2 * RP_TABLE_BATCH_US);
    RpDistribution_Flush(distribution, 6 + 3 * RP_TABLE_BATCH_US);
    for (size_t i = 1; i < G_N_ELEMENTS(tables); i++) {
        assert_false(RpTable_IsEvacuated(tables[i], &zone));
        RpTable_Free(tables[i]);
    }
    RpDistribution_Free(distribution);
    RpDistribution_Free(old);
    RpRegistry_Free(registry);
    RpCatalog_Free(catalog);
    RpCatalog_Free(behind);
}

/* Applies a table with members 1 in zone a, 2 in zone b and 3, which drains,
 * in zone a. `evacuated` is a list separated by commas, or NULL for a replica
 * that does not know evacuations. */
static void
apply(struct rp_table *table, uint64_t revision, const char *evacuated,
      bool gathering)
{
    static const struct {
        const char *name;
        const char *zone;
        enum rp_upstream_state state;
    } rows[] = {{"one", "a", RP_UPSTREAM_READY},
                {"two", "b", RP_UPSTREAM_READY},
                {"three", "a", RP_UPSTREAM_DRAINING}};
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_service service = {
        .id = 1,
        .address = SERVICE,
        .port = 7000,
        .members = RpSchema_NewList(&rp_msg_member_schema)};

    for (uint32_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct rp_msg_member member = {.agent_ip = i + 1,
                                       .agent_port = 1,
                                       .slots = 2,
                                       .state = (uint8_t)rows[i].state};
        RpName_Set(&member.upstream, RpStr_FromC(rows[i].name));
        RpName_Set(&member.zone, RpStr_FromC(rows[i].zone));
        g_array_append_val(service.members, member);
    }
    msg.table.revision = revision;
    msg.table.complete = 1;
    msg.table.gathering = gathering;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    g_array_append_val(msg.table.services, service);
    gchar **names = g_strsplit(evacuated ? evacuated : "", ",", -1);
    if (evacuated) {
        msg.table.evacuated = RpSchema_NewList(&rp_msg_zone_schema);
    }
    for (gchar **name = names; *name; name++) {
        struct rp_msg_zone zone = {0};
        RpName_Set(&zone.name, RpStr_FromC(*name));
        g_array_append_val(msg.table.evacuated, zone);
    }
    g_strfreev(names);
    RpTable_Apply(table, &msg.table);
    RpMsg_Clear(&msg);
}

/* Routes a packet and returns "KIND REASON CANDIDATES", the candidates sorted.
 * Free it with g_free. */
static gchar *
route(const struct rp_table *table, uint8_t flags, uint8_t syn_retransmits)
{
    static const char *const kinds[] = {[RP_ROUTE_SEND] = "send",
                                        [RP_ROUTE_RESET] = "reset",
                                        [RP_ROUTE_DROP] = "drop",
                                        [RP_ROUTE_WAIT] = "wait"};
    struct rp_flow_key key = {CALLER, SERVICE, 4000, 7000};
    struct test_packet test;
    struct rp_route found;
    bool listed[4] = {false};

    make_test_packet(&test, key, flags, 1, 1, 0);
    test.packet.syn_retransmits = syn_retransmits;
    RpBalancer_Route(table, &test.packet, &found);
    for (uint8_t i = 0; i < found.chain.count; i++) {
        listed[found.chain.hop[i].ip] = true;
    }
    return g_strdup_printf("%s %s %s%s%s", kinds[found.kind],
                           RpCounter_Name(found.reason), listed[1] ? "1" : "",
                           listed[2] ? "2" : "", listed[3] ? "3" : "");
}

/* New flows go to no evacuated data centre, open ones to all. Without a member
 * for a new flow it is refused at once, but for a repeated SYN, an earlier
 * copy of which may have opened it; while members may be missing, it waits. */
static void
test_routes(void **state)
{
    static const struct {
        const char *evacuated;
        bool gathering;
        uint8_t flags;
        uint8_t syn_retransmits;
        const char *expected;
    } cases[] = {
        {"", false, RP_TCP_SYN, 0, "send routed 12"},
        {"a", false, RP_TCP_SYN, 0, "send routed 2"},
        {"a", false, RP_TCP_ACK, 0, "send routed 123"},
        /* A replica of an earlier release says nothing about it. */
        {NULL, false, RP_TCP_SYN, 0, "send routed 2"},
        {"a,b", false, RP_TCP_SYN, 0, "reset refused_evacuated "},
        {"a,b", false, RP_TCP_SYN, 1, "drop refused_evacuated "},
        {"a,b", false, RP_TCP_ACK, 0, "send routed 123"},
        {"a,b", true, RP_TCP_SYN, 0, "wait drop_no_member "},
        {"b", true, RP_TCP_SYN, 0, "send routed 1"},
        {"nowhere", false, RP_TCP_SYN, 0, "send routed 12"},
        {"", false, RP_TCP_SYN, 0, "send routed 12"},
    };
    struct rp_table *table = RpTable_Create();
    uint64_t changes = RpTable_CountEvacuationChanges(table);

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        apply(table, i + 1, cases[i].evacuated, cases[i].gathering);
        gchar *found = route(table, cases[i].flags, cases[i].syn_retransmits);
        assert_string_equal(found, cases[i].expected);
        g_free(found);
    }
    /* Changes: a; a,b; b; nowhere; none. */
    assert_int_equal(RpTable_CountEvacuationChanges(table), changes + 5);
    /* An older table is refused as a whole. */
    apply(table, 1, "a", false);
    assert_int_equal(RpTable_Evacuated(table)->len, 0);
    RpTable_Free(table);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_orders),
        cmocka_unit_test(test_restored_after_each_order),
        cmocka_unit_test(test_old_snapshot),
        cmocka_unit_test(test_number_of_zones_is_bounded),
        cmocka_unit_test(test_every_node_is_told),
        cmocka_unit_test(test_routes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
