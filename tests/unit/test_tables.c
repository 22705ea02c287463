/* Tests the service table, the ranking of members, the routes of a balancer
 * and the flow table. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_balancer.h"
#include "rp_flow_table.h"

#define FLOWS 20000

static void
add_member(GArray *members, unsigned number, uint32_t slots,
           enum rp_upstream_state state)
{
    struct rp_msg_member member = {.agent_ip = number,
                                   .agent_port = 1,
                                   .slots = slots,
                                   .state = (uint8_t)state};
    gchar *name = g_strdup_printf("upstream-%u", number);

    RpName_Set(&member.upstream, RpStr_FromC(name));
    g_free(name);
    g_array_append_val(members, member);
}

/* Applies a whole table with one service at 10.80.0.1:7000 and `count`
 * members. The first member has `first_slots` slots, the others 7. */
static void
apply_members(struct rp_table *table, uint64_t revision, unsigned count,
              uint32_t first_slots)
{
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_service service = {
        .id = 1,
        .incarnation = 1,
        .address = 0x0a500001,
        .port = 7000,
        .members = RpSchema_NewList(&rp_msg_member_schema)};

    for (unsigned i = 1; i <= count; i++) {
        add_member(service.members, i, i == 1 ? first_slots : 7,
                   RP_UPSTREAM_READY);
    }
    msg.table.revision = revision;
    msg.table.complete = 1;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    g_array_append_val(msg.table.services, service);
    assert_int_equal(RpTable_Apply(table, &msg.table), RP_OK);
    RpMsg_Clear(&msg);
}

static const struct rp_service *
find_test_service(const struct rp_table *table)
{
    return RpTable_FindByAddress(table,
                                 (struct rp_endpoint){0x0a500001, 7000});
}

/* Returns the number of the member that ranks first for flow `i`. */
static unsigned
first_member(const struct rp_table *table, unsigned i)
{
    const struct rp_member *ranked[1];
    struct rp_flow_key key = {.src_ip = 0x0a090000 + i / 1000,
                              .src_port = (uint16_t)(i % 1000),
                              .dst_ip = 0x0a500001,
                              .dst_port = 7000};

    assert_int_equal(RpService_RankMembers(find_test_service(table),
                                           RpTable_HashFlow(table, key),
                                           RP_MEMBERS_READY, ranked, 1),
                     1);
    return ranked[0]->agent.ip;
}

/* A new member takes its share of the flows from the others, and no flow moves
 * between the others. */
static void
test_new_member_moves_only_its_flows(void **state)
{
    struct rp_table *before = RpTable_Create();
    struct rp_table *after = RpTable_Create();
    unsigned moved = 0;

    (void)state;
    apply_members(before, 1, 7, 7);
    apply_members(after, 1, 8, 7);
    for (unsigned i = 0; i < FLOWS; i++) {
        unsigned old = first_member(before, i);
        unsigned new = first_member(after, i);
        assert_true(new == old || new == 8);
        moved += new != old;
    }
    assert_in_range(moved, FLOWS / 8 * 9 / 10, FLOWS / 8 * 11 / 10);
    RpTable_Free(before);
    RpTable_Free(after);
}

/* Each member gets flows in proportion to its slots, within 5 % for the member
 * with 21 slots and 10 % for the others. */
static void
test_flows_in_proportion_to_slots(void **state)
{
    struct rp_table *table = RpTable_Create();
    unsigned count[8] = {0};

    (void)state;
    apply_members(table, 1, 7, 21);
    for (unsigned i = 0; i < FLOWS; i++) {
        count[first_member(table, i)]++;
    }
    unsigned share = FLOWS * 7 / (21 + 6 * 7);
    assert_in_range(count[1], share * 3 * 95 / 100, share * 3 * 105 / 100);
    for (unsigned i = 2; i <= 7; i++) {
        assert_in_range(count[i], share * 90 / 100, share * 110 / 100);
    }
    RpTable_Free(table);
}

/* A table refuses an update with a lower revision and stays as it is. */
static void
test_revision_never_decreases(void **state)
{
    struct rp_table *table = RpTable_Create();
    struct rp_msg_table older = {.revision = 4, .complete = 1};

    (void)state;
    apply_members(table, 5, 3, 7);
    assert_int_equal(RpTable_Apply(table, &older), RP_ERR_CONFLICT);
    assert_int_equal(RpTable_Revision(table), 5);
    assert_int_equal(RpTable_CountServices(table), 1);
    RpTable_Free(table);
}

/* Only a packet that does not open a flow is sent to draining and lost
 * members. A SYN to a service without ready members is reset. */
static void
test_routes(void **state)
{
    static const struct {
        uint32_t dst_ip;
        uint8_t flags;
        enum rp_route_kind kind;
        enum rp_counter reason;
        unsigned hops;
    } cases[] = {
        {0x0a500001, RP_TCP_SYN, RP_ROUTE_SEND, RP_COUNT_ROUTED, 1},
        {0x0a500001, RP_TCP_ACK, RP_ROUTE_SEND, RP_COUNT_ROUTED, 3},
        {0x0a500002, RP_TCP_SYN, RP_ROUTE_RESET, RP_COUNT_RESET_NO_MEMBER, 0},
        {0x0a500002, RP_TCP_ACK, RP_ROUTE_SEND, RP_COUNT_ROUTED, 1},
        {0x0a500003, RP_TCP_ACK, RP_ROUTE_DROP, RP_COUNT_DROP_UNKNOWN_ADDRESS,
         0},
    };
    struct rp_table *table = RpTable_Create();
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_service one = {
        .id = 1,
        .address = 0x0a500001,
        .port = 7000,
        .members = RpSchema_NewList(&rp_msg_member_schema)};
    struct rp_msg_service two = one;

    (void)state;
    add_member(one.members, 1, 7, RP_UPSTREAM_READY);
    add_member(one.members, 2, 7, RP_UPSTREAM_DRAINING);
    add_member(one.members, 3, 7, RP_UPSTREAM_LOST);
    two.id = 2;
    two.address = 0x0a500002;
    two.members = RpSchema_NewList(&rp_msg_member_schema);
    add_member(two.members, 4, 7, RP_UPSTREAM_DRAINING);
    msg.table.revision = 1;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    g_array_append_val(msg.table.services, one);
    g_array_append_val(msg.table.services, two);

    struct test_packet test;
    struct rp_route route;
    struct rp_flow_key key = {0x0a090001, 0x0a500001, 4000, 7000};
    make_test_packet(&test, key, RP_TCP_SYN, 1, 0, 0);
    RpBalancer_Route(table, &test.packet, &route);
    assert_int_equal(route.kind, RP_ROUTE_WAIT);
    assert_int_equal(route.reason, RP_COUNT_DROP_NO_TABLE);

    RpTable_Apply(table, &msg.table);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        key.dst_ip = cases[i].dst_ip;
        make_test_packet(&test, key, cases[i].flags, 1, 1, 0);
        RpBalancer_Route(table, &test.packet, &route);
        assert_int_equal(route.kind, cases[i].kind);
        assert_int_equal(route.reason, cases[i].reason);
        assert_int_equal(route.chain.count, cases[i].hops);
    }
    RpMsg_Clear(&msg);
    RpTable_Free(table);
}

static void
apply_service_two(struct rp_table *table, uint8_t gathering, uint8_t cut_off,
                  unsigned first, unsigned last)
{
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_service service = {
        .id = 2, .members = RpSchema_NewList(&rp_msg_member_schema)};

    for (unsigned i = first; i <= last; i++) {
        add_member(service.members, i, 2, RP_UPSTREAM_READY);
    }
    msg.table.revision = 1;
    msg.table.gathering = gathering;
    msg.table.cut_off = cut_off;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    g_array_append_val(msg.table.services, service);
    assert_int_equal(RpTable_Apply(table, &msg.table), RP_OK);
    RpMsg_Clear(&msg);
}

/* When a table surely lists every upstream: not while its replica gathers or
 * is cut off, and not while it lacks an upstream that only a replica which
 * lost its memory has dropped. */
static void
test_authoritative_tables(void **state)
{
    struct rp_table *table = RpTable_Create();

    (void)state;
    assert_false(RpTable_IsAuthoritative(table));
    apply_service_two(table, 0, 0, 1, 3);
    assert_true(RpTable_IsAuthoritative(table));
    assert_int_equal(RpTable_CountAdditions(table), 3);
    apply_service_two(table, 0, 1, 1, 3);
    assert_false(RpTable_IsAuthoritative(table));
    /* Member 3 leaves in the ordinary way, member 4 comes. */
    apply_service_two(table, 0, 0, 1, 2);
    assert_true(RpTable_IsAuthoritative(table));
    apply_service_two(table, 0, 0, 1, 4);
    assert_int_equal(RpTable_CountAdditions(table), 5);
    /* Control has lost its memory, and hears only of 1 to 3 again. */
    apply_service_two(table, 1, 0, 1, 2);
    assert_false(RpTable_IsAuthoritative(table));
    apply_service_two(table, 0, 0, 1, 3);
    assert_false(RpTable_IsAuthoritative(table));
    apply_service_two(table, 0, 0, 2, 4);
    assert_true(RpTable_IsAuthoritative(table));
    RpTable_Free(table);
}

/* Compares the flow table with a plain hash table under random insertions and
 * removals. */
static void
test_flow_table_model(void **state)
{
    struct rp_flow_table *table = RpFlowTable_Create(99);
    GHashTable *model = g_hash_table_new(NULL, NULL);
    GRand *rng = g_rand_new_with_seed(7);

    (void)state;
    for (int i = 0; i < 200000; i++) {
        guint number = (guint)g_rand_int_range(rng, 1, 5000);
        struct rp_flow_key caller = {.src_ip = number, .src_port = 9};
        struct rp_flow *flow = RpFlowTable_Find(table, caller);
        bool known = g_hash_table_contains(model, GUINT_TO_POINTER(number));
        assert_int_equal(flow != NULL, known);
        if (!flow) {
            flow = RpFlowTable_Insert(table, caller);
            flow->state = 1;
            flow->caller_isn = number;
            flow->deadline = number;
            g_hash_table_add(model, GUINT_TO_POINTER(number));
        }
        else {
            assert_int_equal(flow->caller_isn, number);
            RpFlowTable_Remove(table, flow);
            g_hash_table_remove(model, GUINT_TO_POINTER(number));
        }
        assert_int_equal(RpFlowTable_Count(table), g_hash_table_size(model));
    }

    /* A sweep over all buckets finds each expired entry once. */
    guint expired = 0;
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, model);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        expired += GPOINTER_TO_UINT(key) <= 2500;
    }
    struct rp_flow_key *found = g_new(struct rp_flow_key, 10000);
    size_t budget = RpFlowTable_CountBuckets(table) + RP_FLOW_SHARDS;
    assert_int_equal(
        RpFlowTable_CollectExpired(table, 2500, budget, found, 10000),
        expired);
    g_free(found);
    g_rand_free(rng);
    g_hash_table_destroy(model);
    RpFlowTable_Free(table);
}

/* Applies a table with one service whose members have the letters of `names`
 * as their names. */
static void
apply_members_named(struct rp_table *table, bool complete, bool gathering,
                    const char *names, enum rp_upstream_state state)
{
    struct rp_msg_table update = {
        .revision = 5,
        .complete = complete,
        .gathering = gathering,
        .services = RpSchema_NewList(&rp_msg_service_schema)};
    struct rp_msg_service service = {
        .id = 3, .members = RpSchema_NewList(&rp_msg_member_schema)};

    for (; *names; names++) {
        struct rp_msg_member member = {
            .agent_ip = (uint8_t)*names, .slots = 2, .state = (uint8_t)state};
        RpName_Set(&member.upstream, (struct rp_str){.data = names, .len = 1});
        g_array_append_val(service.members, member);
    }
    g_array_append_val(update.services, service);
    assert_int_equal(RpTable_Apply(table, &update), RP_OK);
    RpSchema_Clear(&rp_msg_service_schema,
                   &g_array_index(update.services, struct rp_msg_service, 0));
    g_array_free(update.services, TRUE);
}

/* Compares the members' names and states with `expected`, such as "a1b2". */
static void
expect_members(const struct rp_table *table, const char *expected)
{
    const struct rp_name no_name = {0};
    const struct rp_service *service = RpTable_FindByName(table, &no_name);
    GString *text = g_string_new(NULL);

    for (size_t i = 0; service && i < service->count; i++) {
        g_string_append_printf(text, "%s%d", service->members[i].name.data,
                               service->members[i].state);
    }
    assert_string_equal(text->str, expected);
    g_string_free(text, TRUE);
}

/* A control instance that has just started may not have heard from all
 * upstreams yet. A node keeps the members that it knows until the instance
 * sends a table that is not marked `gathering`. */
static void
test_keeps_members_while_gathering(void **state)
{
    struct rp_table *table = RpTable_Create();

    (void)state;
    apply_members_named(table, true, false, "ab", RP_UPSTREAM_READY);
    apply_members_named(table, true, true, "", RP_UPSTREAM_READY);
    expect_members(table, "a1b1");
    apply_members_named(table, false, true, "b", RP_UPSTREAM_DRAINING);
    expect_members(table, "b2a1");
    apply_members_named(table, false, true, "c", RP_UPSTREAM_READY);
    expect_members(table, "c1b2a1");
    assert_true(RpTable_MayLackMembers(table));
    apply_members_named(table, true, false, "bc", RP_UPSTREAM_READY);
    expect_members(table, "b1c1");
    apply_members_named(table, true, false, "", RP_UPSTREAM_READY);
    expect_members(table, "");
    RpTable_Free(table);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_new_member_moves_only_its_flows),
        cmocka_unit_test(test_flows_in_proportion_to_slots),
        cmocka_unit_test(test_revision_never_decreases),
        cmocka_unit_test(test_routes),
        cmocka_unit_test(test_authoritative_tables),
        cmocka_unit_test(test_flow_table_model),
        cmocka_unit_test(test_keeps_members_while_gathering),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
