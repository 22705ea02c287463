/* Hints about the owners of flows: which packets they hold for, and how a
 * balancer follows them. */
#include <glib.h>

#include "check.h"
#include "rp_balancer.h"

#define HASH 77
#define SEQ 1000
#define SECOND RP_US_PER_SECOND

static const struct rp_flow_key flow = {0x0a090001, 0x0a500001, 4000, 7000};
static const struct rp_endpoint owner = {.ip = 9, .port = 1};

static struct rp_packet
packet_of(struct rp_flow_key key, uint8_t flags, uint32_t seq)
{
    return (struct rp_packet){.key = key, .flags = flags, .seq = seq};
}

static struct rp_owner_hints *
create_with_hint(void)
{
    struct rp_owner_hints *hints = RpOwnerHints_Create();
    const struct rp_owner_hint hint = {
        .flow = flow, .service_id = 1, .seq = SEQ};

    RpOwnerHints_Put(hints, 0, HASH, &hint, owner);
    return hints;
}

static bool
is_found(struct rp_owner_hints *hints, int64_t now, struct rp_flow_key key,
         uint8_t flags, uint32_t seq)
{
    const struct rp_packet packet = packet_of(key, flags, seq);
    const struct rp_owner *found = RpOwnerHints_Find(hints, now, HASH,
                                                     &packet);

    assert_true(!found || RpEndpoint_Equal(found->agent, owner));
    return found != NULL;
}

/* What the second packet of a flow finds after the first. */
static void
test_hint_holds_for_one_flow(void **state)
{
    static const struct {
        const char *what;
        uint8_t flags; /* of the first packet */
        uint32_t seq;
        int64_t at;
        bool found;
        bool found_then; /* by an ordinary packet just after it */
    } cases[] = {
        {"next", RP_TCP_ACK, SEQ + 100, 0, true, true},
        {"repeated", RP_TCP_ACK, SEQ - 100, 0, true, true},
        {"far ahead", RP_TCP_ACK, SEQ + RP_OWNER_HINT_SEQ_SPAN + 1, 0, false,
         false},
        {"far behind", RP_TCP_ACK, SEQ - RP_OWNER_HINT_SEQ_SPAN - 1, 0, false,
         false},
        {"end of the flow", RP_TCP_FIN | RP_TCP_ACK, SEQ, 0, true, true},
        {"reset", RP_TCP_RST, SEQ, 0, true, false},
        {"new flow", RP_TCP_SYN, SEQ, 0, false, false},
        {"in time", RP_TCP_ACK, SEQ, RP_OWNER_HINT_LIFETIME_US - 1, true,
         true},
        {"too late", RP_TCP_ACK, SEQ, RP_OWNER_HINT_LIFETIME_US, false, false},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_owner_hints *hints = create_with_hint();
        print_message("%s\n", cases[i].what);
        assert_int_equal(
            is_found(hints, cases[i].at, flow, cases[i].flags, cases[i].seq),
            cases[i].found);
        assert_int_equal(
            is_found(hints, cases[i].at + 1, flow, RP_TCP_ACK, SEQ),
            cases[i].found_then);
        RpOwnerHints_Free(hints);
    }
}

/* A long flow keeps its hint, though its sequence numbers wrap around. */
static void
test_hint_follows_its_flow(void **state)
{
    struct rp_owner_hints *hints = create_with_hint();
    uint32_t seq = SEQ;

    (void)state;
    for (int i = 0; i < 10000; i++) {
        seq += RP_OWNER_HINT_SEQ_SPAN;
        assert_true(is_found(hints, i * SECOND, flow, RP_TCP_ACK, seq));
    }
    RpOwnerHints_Free(hints);
}

/* Flows whose hashes have the same remainder do not find each other's hints.
 * One more than there is room for replaces the one that was not used for the
 * longest time. */
static void
test_hints_in_one_bucket(void **state)
{
    struct rp_owner_hints *hints = create_with_hint();
    struct rp_owner_hint hint = {.flow = flow, .service_id = 1, .seq = SEQ};

    (void)state;
    for (int i = 1; i < RP_OWNER_HINTS_BUCKET; i++) {
        hint.flow.src_port++;
        assert_false(is_found(hints, i, hint.flow, RP_TCP_SYN, SEQ));
        RpOwnerHints_Put(hints, i, HASH, &hint, owner);
        /* A second hint about the flow takes no further room. */
        RpOwnerHints_Put(hints, i, HASH, &hint, owner);
    }
    assert_true(is_found(hints, 10, flow, RP_TCP_ACK, SEQ));
    hint.flow.src_port++;
    RpOwnerHints_Put(hints, 11, HASH, &hint, owner);
    for (int i = 0; i <= RP_OWNER_HINTS_BUCKET; i++) {
        struct rp_flow_key key = flow;
        key.src_port += i;
        assert_int_equal(is_found(hints, 12, key, RP_TCP_ACK, SEQ), i != 1);
    }
    RpOwnerHints_Free(hints);
}

static void
add_service(GArray *services, uint32_t id, uint32_t first_ip,
            const enum rp_upstream_state *states, size_t count)
{
    struct rp_msg_service service = {
        .id = id,
        .incarnation = id + 10,
        .members = RpSchema_NewList(&rp_msg_member_schema)};

    for (size_t i = 0; i < count; i++) {
        struct rp_msg_member member = {.agent_ip = first_ip + (uint32_t)i,
                                       .agent_port = 1,
                                       .slots = 2,
                                       .state = states[i]};
        gchar *name = g_strdup_printf("up-%u", member.agent_ip);
        RpName_Set(&member.upstream, RpStr_FromC(name));
        g_free(name);
        g_array_append_val(service.members, member);
    }
    g_array_append_val(services, service);
}

/* Service 1 has the address and members 1 to 6: 1 to 4 ready, 5 draining, 6
 * lost. Service 2 had the address before, if `moved`, and has members 11 and
 * 12. */
static struct rp_table *
create_table(bool moved)
{
    static const enum rp_upstream_state states[] = {
        RP_UPSTREAM_READY, RP_UPSTREAM_READY,    RP_UPSTREAM_READY,
        RP_UPSTREAM_READY, RP_UPSTREAM_DRAINING, RP_UPSTREAM_LOST};
    struct rp_table *table = RpTable_Create();
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_vip vip = {
        .address = flow.dst_ip,
        .port = flow.dst_port,
        .targets = RpSchema_NewList(&rp_msg_target_schema)};
    struct rp_msg_target target = {.service_id = 1, .weight = 1};

    msg.table.revision = 1;
    msg.table.complete = 1;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    msg.table.vips = RpSchema_NewList(&rp_msg_vip_schema);
    add_service(msg.table.services, 1, 1, states, G_N_ELEMENTS(states));
    add_service(msg.table.services, 2, 11, states, 2);
    g_array_append_val(vip.targets, target);
    target = (struct rp_msg_target){.service_id = 2, .weight = 0};
    if (moved) {
        g_array_append_val(vip.targets, target);
    }
    g_array_append_val(msg.table.vips, vip);
    RpTable_Apply(table, &msg.table);
    RpMsg_Clear(&msg);
    return table;
}

/* Checks that `with` has the candidates of `without` in the same order, after
 * the owner. */
static void
check_others_follow(const struct rp_chain *with,
                    const struct rp_chain *without, struct rp_endpoint first)
{
    size_t place = 1;

    for (size_t i = 0; i < without->count; i++) {
        if (!RpEndpoint_Equal(without->hop[i], first)) {
            assert_true(place < with->count);
            assert_true(RpEndpoint_Equal(with->hop[place], without->hop[i]));
            assert_int_equal(with->hop_service[place],
                             without->hop_service[i]);
            place++;
        }
    }
    assert_int_equal(place, with->count);
}

/* The owner that a hint names gets the packet first, if it is listed as
 * serving; all other candidates follow as before. */
static void
test_balancer_follows_hints(void **state)
{
    static const struct {
        uint32_t ip;
        uint32_t service_id;
        bool moved;
        uint8_t flags;
        bool followed;
    } cases[] = {
        {1, 1, false, RP_TCP_ACK, true},  {2, 1, false, RP_TCP_ACK, true},
        {3, 1, false, RP_TCP_ACK, true},  {4, 1, false, RP_TCP_ACK, true},
        {5, 1, false, RP_TCP_ACK, true},  {6, 1, false, RP_TCP_ACK, false},
        {7, 1, false, RP_TCP_ACK, false}, {11, 2, false, RP_TCP_ACK, false},
        {1, 2, false, RP_TCP_ACK, false}, {11, 2, true, RP_TCP_ACK, true},
        {12, 2, true, RP_TCP_ACK, true},  {4, 1, true, RP_TCP_ACK, true},
        {11, 1, true, RP_TCP_ACK, false}, {1, 1, false, RP_TCP_SYN, false},
        {1, 1, false, RP_TCP_RST, true},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_table *table = create_table(cases[i].moved);
        struct rp_owner_hints *hints = RpOwnerHints_Create();
        const struct rp_owner_hint hint = {
            .flow = flow, .service_id = cases[i].service_id, .seq = SEQ};
        const struct rp_endpoint agent = {.ip = cases[i].ip, .port = 1};
        const struct rp_packet packet = packet_of(flow, cases[i].flags, SEQ);
        struct rp_route plain;
        struct rp_route route;
        print_message("case %zu\n", i);
        RpOwnerHints_Put(hints, 0, RpTable_HashFlow(table, flow), &hint,
                         agent);
        RpBalancer_Route(table, &packet, &plain);
        route = plain;
        RpBalancer_PreferOwner(table, hints, 0, &packet, &route);
        assert_int_equal(route.kind, RP_ROUTE_SEND);
        assert_int_equal(route.reason, cases[i].followed
                                           ? RP_COUNT_HINT_FOLLOWED
                                           : RP_COUNT_ROUTED);
        if (cases[i].followed) {
            assert_true(RpEndpoint_Equal(route.chain.hop[0], agent));
            assert_int_equal(route.tag.service_id, cases[i].service_id);
            assert_int_equal(route.tag.incarnation, cases[i].service_id + 10);
            check_others_follow(&route.chain, &plain.chain, agent);
        }
        else {
            assert_memory_equal(&route, &plain, sizeof route);
        }
        RpOwnerHints_Free(hints);
        RpTable_Free(table);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_hint_holds_for_one_flow),
        cmocka_unit_test(test_hint_follows_its_flow),
        cmocka_unit_test(test_hints_in_one_bucket),
        cmocka_unit_test(test_balancer_follows_hints),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
