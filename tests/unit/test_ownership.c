/* Property runs of flow ownership: callers, balancers with tables of
 * different ages, agents and hosts exchange packets in a random order that
 * loses, repeats and delays them, while upstreams join, drain and come back
 * and agents restart.
 *
 * What must hold on every seed:
 * - a flow that was established breaks only with its host;
 * - payload of a flow reaches one host only;
 * - no packet of one service reaches a host of another.
 *
 * RP_SEED=N runs that seed alone; RP_SEEDS=N runs 1 to N; RP_TRACE=1 prints
 * every packet. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "rp_agent.h"
#include "rp_balancer.h"
#include "rp_flow_chart.h"
#include "rp_time.h"
#include "seeds.h"

#define SERVICES 2
#define UPSTREAMS 6 /* of each service */
#define BALANCERS 3
#define FLOWS 12
#define STEPS 2500
#define DEFAULT_SEEDS 300

/* Seeds beyond those that found a fault once. */
static const uint32_t extra_seeds[] = {502, 904, 3034};
#define MAX_IN_FLIGHT 400
#define ROUNDS_TO_SETTLE 400
/* By when, after the last change, every table is up to date. */
#define IN_FORCE_US (7 * RP_US_PER_SECOND)

/* One end of a TCP connection, as far as ownership can see it. */
enum host_state { HOST_NONE, HOST_SYN_RECEIVED, HOST_ESTABLISHED };

struct host_flow {
    enum host_state state;
    uint32_t isn;
    uint32_t next;    /* next byte it will send */
    uint32_t wanted;  /* next byte it expects */
    unsigned payload; /* bytes it took */
};

struct upstream {
    bool alive;
    bool draining;
    struct rp_agent *agent;
    struct host_flow flows[FLOWS];
};

enum caller_state { CALLER_IDLE, CALLER_SYN_SENT, CALLER_ESTABLISHED };

struct caller_flow {
    enum caller_state state;
    unsigned service;
    uint32_t isn;
    uint32_t next;
    uint32_t acked; /* what the host has acknowledged */
    uint32_t wanted;
    int owner; /* upstream that answered, once established */
    bool refused;
};

/* A packet on its way. */
struct flight {
    enum { TO_BALANCER, TO_AGENT, TO_HOST, TO_AGENT_FROM_HOST, TO_CALLER } at;
    unsigned service;
    unsigned upstream;
    struct rp_geneve geneve; /* of TO_AGENT */
    uint8_t bytes[128];
    size_t len;
};

struct world {
    GRand *dice;
    int64_t now;
    struct rp_chart chart;
    struct rp_counters counters;
    struct upstream upstreams[SERVICES][UPSTREAMS];
    struct rp_table *tables[BALANCERS];
    struct rp_table *agent_tables[SERVICES][UPSTREAMS];
    struct caller_flow flows[FLOWS];
    GPtrArray *flights;
    uint64_t revision;
    uint32_t seed;
    bool faulty; /* packets are lost, repeated and delayed */
};

#define CHECK(world, condition, text)                                         \
    do {                                                                      \
        if (!(condition)) {                                                   \
            print_error("%s\nrepeat with: RP_SEED=%u "                        \
                        "build/tests/test_ownership\n",                       \
                        text, (world)->seed);                                 \
            fail();                                                           \
        }                                                                     \
    } while (0)

static int
roll(struct world *world, int sides)
{
    return g_rand_int_range(world->dice, 0, sides);
}

static struct rp_endpoint
agent_at(unsigned service, unsigned upstream)
{
    return (struct rp_endpoint){.ip = 0x0a000000u + service * 256 + upstream,
                                .port = 1};
}

static struct rp_flow_key
flow_key(const struct world *world, unsigned number)
{
    return (struct rp_flow_key){.src_ip = 0x0a090001,
                                .src_port = (uint16_t)(4000 + number),
                                .dst_ip = 0x0a500001 +
                                          world->flows[number].service,
                                .dst_port = 7000};
}

/* Brings one table up to date with the upstreams as they are now. */
static void
refresh(struct world *world, struct rp_table *table)
{
    struct rp_msg msg = {.type = RP_MSG_TABLE};

    msg.table.revision = ++world->revision;
    msg.table.complete = 1;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    for (unsigned i = 0; i < SERVICES; i++) {
        struct rp_msg_service service = {
            .id = i + 1,
            .incarnation = 1,
            .address = 0x0a500001 + i,
            .port = 7000,
            .flows_per_upstream = 1000,
            .retries_percent = 100,
            .silence_ms = 30000,
            .long_slots_percent = 50,
            .members = RpSchema_NewList(&rp_msg_member_schema)};
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            const struct upstream *upstream = &world->upstreams[i][j];
            struct rp_msg_member member = {.agent_ip = agent_at(i, j).ip,
                                           .agent_port = 1,
                                           .slots = 2,
                                           .state = upstream->draining
                                                        ? RP_UPSTREAM_DRAINING
                                                        : RP_UPSTREAM_READY};
            gchar *name = g_strdup_printf("up-%u-%u", i, j);
            RpName_Set(&member.upstream, RpStr_FromC(name));
            g_free(name);
            if (upstream->alive) {
                g_array_append_val(service.members, member);
            }
        }
        g_array_append_val(msg.table.services, service);
    }
    RpTable_Apply(table, &msg.table);
    RpMsg_Clear(&msg);
}

static void
refresh_agent(struct world *world, unsigned service, unsigned number)
{
    struct rp_table *table = world->agent_tables[service][number];
    struct rp_endpoint address = {.ip = 0x0a500001 + service, .port = 7000};

    refresh(world, table);
    RpAgent_SetTable(world->upstreams[service][number].agent, table,
                     RpTable_Find(table, address));
}

static void
start_agent(struct world *world, unsigned service, unsigned number)
{
    struct upstream *upstream = &world->upstreams[service][number];
    const struct rp_agent_config config = {.self = agent_at(service, number),
                                           .started = world->now,
                                           .slots = 2,
                                           .seed = 1};

    RpAgent_Free(upstream->agent);
    upstream->agent = RpAgent_Create(
        &config, &world->chart, RpAdmission_CreateLeast(), &world->counters);
    RpAgent_SetDraining(upstream->agent, upstream->draining);
    refresh_agent(world, service, number);
}

static void
send_flight(struct world *world, const struct flight *flight)
{
    unsigned copies = 1;

    if (world->faulty && roll(world, 20) == 0) {
        copies = (unsigned)roll(world, 3); /* lost, kept or repeated */
    }
    while (copies-- > 0 && world->flights->len < MAX_IN_FLIGHT) {
        g_ptr_array_add(world->flights, g_memdup2(flight, sizeof *flight));
    }
}

static void
send_segment(struct world *world, struct flight *flight,
             struct rp_flow_key key, uint8_t flags, uint32_t seq, uint32_t ack,
             unsigned payload)
{
    struct test_packet test;

    make_test_packet(&test, key, flags, seq, ack, payload);
    flight->len = test.packet.len;
    memcpy(flight->bytes, test.bytes, test.packet.len);
    send_flight(world, flight);
}

static void
caller_sends(struct world *world, unsigned number, uint8_t flags,
             unsigned payload)
{
    struct caller_flow *flow = &world->flows[number];
    struct flight flight = {.at = TO_BALANCER, .service = flow->service};
    uint32_t seq = flags & RP_TCP_SYN ? flow->isn : flow->acked;

    send_segment(world, &flight, flow_key(world, number), flags, seq,
                 flow->wanted, payload);
}

/* What callers do of themselves: open, send, repeat what is not answered. */
static void
caller_acts(struct world *world, unsigned number)
{
    struct caller_flow *flow = &world->flows[number];

    if (flow->state == CALLER_IDLE && !flow->refused) {
        flow->state = CALLER_SYN_SENT;
        flow->isn = (uint32_t)roll(world, 1 << 30);
        flow->next = flow->isn + 1;
        flow->acked = flow->isn + 1;
        flow->owner = -1;
    }
    if (flow->state == CALLER_SYN_SENT) {
        /* Some put payload on the SYN. */
        caller_sends(world, number, RP_TCP_SYN, roll(world, 4) ? 0 : 5);
        return;
    }
    if (flow->state == CALLER_ESTABLISHED) {
        if (flow->next == flow->acked) {
            flow->next += 8;
        }
        caller_sends(world, number, RP_TCP_ACK | RP_TCP_PSH, 8);
    }
}

static void
host_sends(struct world *world, unsigned service, unsigned upstream,
           unsigned number, uint8_t flags, uint32_t seq, uint32_t ack)
{
    struct flight flight = {
        .at = TO_AGENT_FROM_HOST, .service = service, .upstream = upstream};

    send_segment(world, &flight, RpFlowKey_Reverse(flow_key(world, number)),
                 flags, seq, ack, 0);
}

/* A host takes a segment, as TCP would. */
static void
at_host(struct world *world, const struct flight *flight)
{
    struct upstream *upstream =
        &world->upstreams[flight->service][flight->upstream];
    struct rp_packet packet;
    enum rp_counter reason;

    assert_true(RpPacket_Parse(flight->bytes, flight->len, &packet, &reason));
    unsigned number = packet.key.src_port - 4000u;
    struct host_flow *flow = &upstream->flows[number];
    CHECK(world, packet.key.dst_ip == 0x0a500001 + flight->service,
          "a packet reached another service");
    if (!upstream->alive) {
        return;
    }
    if (packet.flags & RP_TCP_RST) {
        if (flow->state != HOST_NONE && packet.seq == flow->wanted) {
            flow->state = HOST_NONE;
        }
        return;
    }
    if (packet.flags & RP_TCP_SYN) {
        CHECK(world, packet.payload_len == 0, "a SYN brought payload");
        if (flow->state == HOST_NONE) {
            flow->state = HOST_SYN_RECEIVED;
            flow->isn = (uint32_t)roll(world, 1 << 30);
            flow->next = flow->isn + 1;
            flow->wanted = packet.seq + 1;
            flow->payload = 0;
        }
        if (flow->state == HOST_SYN_RECEIVED) {
            host_sends(world, flight->service, flight->upstream, number,
                       RP_TCP_SYN | RP_TCP_ACK, flow->isn, flow->wanted);
        }
        else {
            host_sends(world, flight->service, flight->upstream, number,
                       RP_TCP_ACK, flow->next, flow->wanted);
        }
        return;
    }
    bool acceptable = flow->state != HOST_NONE && packet.ack == flow->next;
    if (flow->state == HOST_NONE ||
        (flow->state == HOST_SYN_RECEIVED && !acceptable)) {
        host_sends(world, flight->service, flight->upstream, number,
                   RP_TCP_RST, packet.ack, 0);
        return;
    }
    flow->state = HOST_ESTABLISHED;
    if (packet.seq == flow->wanted) {
        flow->wanted += packet.payload_len;
        flow->payload += packet.payload_len;
    }
    host_sends(world, flight->service, flight->upstream, number, RP_TCP_ACK,
               flow->next, flow->wanted);
}

/* The upstream whose host has this initial sequence number. */
static int
find_owner(const struct world *world, unsigned service, unsigned number,
           uint32_t isn)
{
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        const struct host_flow *flow =
            &world->upstreams[service][i].flows[number];
        if (flow->state != HOST_NONE && flow->isn == isn) {
            return (int)i;
        }
    }
    return -1;
}

static void
at_caller(struct world *world, const struct flight *flight)
{
    struct rp_packet packet;
    enum rp_counter reason;

    assert_true(RpPacket_Parse(flight->bytes, flight->len, &packet, &reason));
    unsigned number = packet.key.dst_port - 4000u;
    struct caller_flow *flow = &world->flows[number];
    if (packet.flags & RP_TCP_RST) {
        bool valid = flow->state == CALLER_SYN_SENT
                         ? packet.ack == flow->isn + 1
                         : packet.seq == flow->wanted;
        CHECK(world,
              !valid || flow->state != CALLER_ESTABLISHED ||
                  !world->upstreams[flow->service][flow->owner].alive,
              "an established flow was reset");
        if (valid && flow->state == CALLER_SYN_SENT) {
            flow->state = CALLER_IDLE;
            flow->refused = true;
        }
        return;
    }
    if ((packet.flags & RP_TCP_SYN) && flow->state == CALLER_SYN_SENT &&
        packet.ack == flow->isn + 1) {
        flow->state = CALLER_ESTABLISHED;
        flow->wanted = packet.seq + 1;
        flow->owner = find_owner(world, flow->service, number, packet.seq);
        caller_sends(world, number, RP_TCP_ACK, 0);
        return;
    }
    if (flow->state == CALLER_ESTABLISHED && packet.seq == flow->wanted &&
        packet.ack - flow->acked <= flow->next - flow->acked) {
        flow->acked = packet.ack;
    }
}

static void
at_balancer(struct world *world, const struct flight *flight)
{
    struct rp_packet packet;
    struct rp_route route;
    enum rp_counter reason;
    struct flight next = *flight;

    assert_true(RpPacket_Parse(flight->bytes, flight->len, &packet, &reason));
    RpBalancer_Route(world->tables[roll(world, BALANCERS)], &packet, &route);
    if (route.kind == RP_ROUTE_SEND) {
        if (roll(world, 100) == 0) {
            /* Something on the way delivers it to another service. */
            next.service = (flight->service + 1) % SERVICES;
        }
        next.at = TO_AGENT;
        next.upstream = route.chain.hop[0].ip & 0xff;
        next.geneve = (struct rp_geneve){.has_tag = true,
                                         .has_chain = true,
                                         .tag = route.tag,
                                         .chain = route.chain};
        next.geneve.chain.visited = 1;
        send_flight(world, &next);
    }
}

static void
carry_out(struct world *world, unsigned service, unsigned upstream,
          const struct rp_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        const struct rp_action *action = &actions->item[i];
        struct flight flight = {.service = service, .upstream = upstream};
        if (action->kind == RP_ACTION_DROP) {
            continue;
        }
        flight.len = action->len;
        memcpy(flight.bytes, action->data, action->len);
        if (action->kind == RP_ACTION_TO_HOST) {
            /* Agent and host are on one machine. */
            flight.at = TO_HOST;
        }
        else if (action->kind == RP_ACTION_TO_CALLER) {
            flight.at = TO_CALLER;
        }
        else {
            flight.at = TO_AGENT;
            flight.upstream = action->next.ip & 0xff;
            flight.geneve = (struct rp_geneve){
                .has_tag = true,
                .has_chain = true,
                .tag = {.service_id = service + 1, .incarnation = 1},
                .chain = action->chain};
        }
        send_flight(world, &flight);
    }
}

static void
at_agent(struct world *world, const struct flight *flight, bool from_host)
{
    struct upstream *upstream =
        &world->upstreams[flight->service][flight->upstream];
    struct rp_actions actions = {0};
    struct rp_packet packet;
    enum rp_counter reason;

    if (!upstream->alive) {
        return;
    }
    assert_true(RpPacket_Parse(flight->bytes, flight->len, &packet, &reason));
    if (from_host) {
        RpAgent_FromHost(upstream->agent, world->now, &packet, &actions);
    }
    else {
        RpAgent_FromCaller(upstream->agent, world->now, &packet,
                           &flight->geneve, &actions);
    }
    carry_out(world, flight->service, flight->upstream, &actions);
}

static void
trace(const struct world *world, const struct flight *flight)
{
    static const char *const places[] = {"balancer", "agent", "host",
                                         "agent from host", "caller"};
    struct rp_packet packet;
    enum rp_counter reason;

    if (!g_getenv("RP_TRACE") ||
        !RpPacket_Parse(flight->bytes, flight->len, &packet, &reason)) {
        return;
    }
    bool to_caller = packet.key.src_port == 7000;
    print_message("%" G_GINT64_FORMAT " flow %u at %s %u-%u flags=%02x "
                  "seq=%u ack=%u len=%u visited=%u\n",
                  world->now,
                  (to_caller ? packet.key.dst_port : packet.key.src_port) -
                      4000u,
                  places[flight->at], flight->service, flight->upstream,
                  packet.flags, packet.seq, packet.ack, packet.payload_len,
                  flight->geneve.chain.visited);
}

/* Delivers one packet: any of them while faults are on, else the oldest. */
static void
deliver(struct world *world)
{
    if (world->flights->len == 0) {
        return;
    }
    guint index = world->faulty
                      ? (guint)roll(world, (int)MIN(world->flights->len, 8))
                      : 0;
    struct flight *flight = g_ptr_array_steal_index(world->flights, index);
    trace(world, flight);
    switch (flight->at) {
    case TO_BALANCER:
        at_balancer(world, flight);
        break;
    case TO_AGENT:
        at_agent(world, flight, false);
        break;
    case TO_HOST:
        at_host(world, flight);
        break;
    case TO_AGENT_FROM_HOST:
        at_agent(world, flight, true);
        break;
    case TO_CALLER:
        at_caller(world, flight);
        break;
    }
    g_free(flight);
}

static void
run_timers(struct world *world)
{
    for (unsigned i = 0; i < SERVICES; i++) {
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            struct upstream *upstream = &world->upstreams[i][j];
            struct rp_actions actions = {0};
            while (upstream->alive &&
                   RpAgent_OnTimer(upstream->agent, world->now, &actions)) {
                carry_out(world, i, j, &actions);
            }
        }
    }
}

/* Planned change only: joins, drains, drains taken back, agents replaced,
 * tables that reach one instance and not another. */
static void
change_something(struct world *world)
{
    unsigned service = (unsigned)roll(world, SERVICES);
    unsigned number = (unsigned)roll(world, UPSTREAMS);
    struct upstream *upstream = &world->upstreams[service][number];

    switch (roll(world, 6)) {
    case 0:
        upstream->alive = true;
        start_agent(world, service, number);
        break;
    case 1:
        if (upstream->alive) {
            upstream->draining = !upstream->draining;
            RpAgent_SetDraining(upstream->agent, upstream->draining);
        }
        break;
    case 2:
        if (upstream->alive) {
            start_agent(world, service, number); /* replaced */
        }
        break;
    case 3:
        if (upstream->alive) {
            refresh_agent(world, service, number);
        }
        break;
    default:
        refresh(world, world->tables[roll(world, BALANCERS)]);
    }
}

static void
check_payload(struct world *world)
{
    for (unsigned number = 0; number < FLOWS; number++) {
        for (unsigned i = 0; i < SERVICES; i++) {
            unsigned takers = 0;
            for (unsigned j = 0; j < UPSTREAMS; j++) {
                takers += world->upstreams[i][j].flows[number].payload > 0;
            }
            CHECK(world, takers <= 1, "payload of a flow reached two hosts");
        }
    }
}

static void
refresh_all(struct world *world)
{
    for (unsigned i = 0; i < BALANCERS; i++) {
        refresh(world, world->tables[i]);
    }
    for (unsigned i = 0; i < SERVICES; i++) {
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            refresh_agent(world, i, j);
        }
    }
}

/* With the faults over, every established flow must still get its data to
 * its host. */
static void
check_flows_work(struct world *world)
{
    int64_t in_force = world->now + IN_FORCE_US;
    bool refreshed = false;

    world->faulty = false;
    for (unsigned round = 0; round < ROUNDS_TO_SETTLE; round++) {
        for (unsigned i = 0; i < FLOWS; i++) {
            if (world->flows[i].state == CALLER_ESTABLISHED &&
                world->flights->len < MAX_IN_FLIGHT / 2) {
                caller_acts(world, i);
            }
        }
        while (world->flights->len) {
            deliver(world);
        }
        world->now += 50 * RP_US_PER_MS;
        run_timers(world);
        if (!refreshed && world->now >= in_force) {
            refresh_all(world);
            refreshed = true;
        }
    }
    for (unsigned i = 0; i < FLOWS; i++) {
        const struct caller_flow *flow = &world->flows[i];
        if (flow->state != CALLER_ESTABLISHED) {
            continue;
        }
        CHECK(world, flow->owner >= 0, "established without an owner");
        const struct host_flow *host =
            &world->upstreams[flow->service][flow->owner].flows[i];
        CHECK(world, host->state == HOST_ESTABLISHED && host->payload > 0,
              "an established flow does not reach its host");
        CHECK(world, flow->acked != flow->isn + 1,
              "an established flow gets no answer");
    }
}

static void
start_world(struct world *world, uint32_t seed)
{
    world->seed = seed;
    world->dice = g_rand_new_with_seed(seed);
    world->faulty = true;
    world->flights = g_ptr_array_new_with_free_func(g_free);
    assert_int_equal(RpFlowChart_Load(&world->chart, NULL), RP_OK);
    for (unsigned i = 0; i < SERVICES; i++) {
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            world->upstreams[i][j].alive = j < 3;
            world->agent_tables[i][j] = RpTable_Create();
        }
    }
    for (unsigned i = 0; i < SERVICES; i++) {
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            start_agent(world, i, j);
        }
    }
    for (unsigned i = 0; i < BALANCERS; i++) {
        world->tables[i] = RpTable_Create();
        refresh(world, world->tables[i]);
    }
    for (unsigned i = 0; i < FLOWS; i++) {
        world->flows[i].service = i % SERVICES;
    }
}

static void
end_world(struct world *world)
{
    for (unsigned i = 0; i < SERVICES; i++) {
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            RpAgent_Free(world->upstreams[i][j].agent);
            RpTable_Free(world->agent_tables[i][j]);
        }
    }
    for (unsigned i = 0; i < BALANCERS; i++) {
        RpTable_Free(world->tables[i]);
    }
    g_ptr_array_unref(world->flights);
    g_rand_free(world->dice);
}

static unsigned
run_seed(uint32_t seed)
{
    static struct world world;
    unsigned established = 0;

    memset(&world, 0, sizeof world);
    start_world(&world, seed);
    for (int step = 0; step < STEPS; step++) {
        world.now += roll(&world, 4) * RP_US_PER_MS;
        if (roll(&world, 6) == 0) {
            caller_acts(&world, (unsigned)roll(&world, FLOWS));
        }
        if (roll(&world, 60) == 0) {
            change_something(&world);
        }
        deliver(&world);
        run_timers(&world);
        check_payload(&world);
    }
    check_flows_work(&world);
    check_payload(&world);
    for (unsigned i = 0; i < FLOWS; i++) {
        established += world.flows[i].state == CALLER_ESTABLISHED;
    }
    end_world(&world);
    return established;
}

static void
test_ownership_property(void **state)
{
    uint32_t ran;

    (void)state;
    unsigned established = run_seeds(run_seed, DEFAULT_SEEDS, extra_seeds,
                                     G_N_ELEMENTS(extra_seeds), &ran);
    print_message("%u seeds, %u flows established, all alive\n", ran,
                  established);
    assert_true(established > ran * FLOWS / 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ownership_property),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
