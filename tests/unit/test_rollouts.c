/* Simulation of rollouts of agents that overlap. Agents are stopped and
 * started again, several at a time, while hosts, balancers and callers live.
 * What is sent to a stopped agent is lost; an agent that has started has no
 * flows, gets its table a little later, and is draining until it has heard its
 * host.
 *
 * Checked for every seed, for each open flow:
 * - its packets do not reach other hosts only, three or more of them for
 *   REORDER_US (rule FLOW of the users);
 * - it is not reset.
 *
 * RP_SEED=N runs that seed alone; RP_SEEDS=N runs seeds 1 to N; RP_TRACE=1
 * prints every packet of the flows. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "rp_agent.h"
#include "rp_balancer.h"
#include "rp_flow_chart.h"
#include "rp_time.h"
#include "seeds.h"

#define UPSTREAMS 7
#define ZONES 3
#define BALANCERS ZONES
#define FLOWS 60
#define DEFAULT_SEEDS 100

/* Seeds above DEFAULT_SEEDS that have found a fault. */
static const uint32_t extra_seeds[] = {1242};
#define END_US (18 * RP_US_PER_SECOND)
#define TICK_US RP_US_PER_MS
#define ADDRESS_IP 0x0a500001
#define ADDRESS_PORT 7000
#define FIRST_PORT 4000
#define ZONE_WEIGHT 8

/* Rollouts: when they start, and how each goes on. */
#define ROLLOUTS 3
#define FIRST_ROLLOUT_US (2 * RP_US_PER_SECOND)
#define ROLLOUT_SHIFT_US (400 * RP_US_PER_MS)
#define ROLLOUT_STEP_US (1200 * RP_US_PER_MS)
#define DOWN_US (500 * RP_US_PER_MS)
#define FIRST_TABLE_US (5 * RP_US_PER_MS)
#define REPORT_INTERVAL_MS 1200
#define LAST_OPEN_MS 10000

/* Callers and hosts. */
#define REQUEST_SIZE 8
#define WORK_US (15 * RP_US_PER_MS)
#define MAX_PAUSE_MS 1500
#define LOSS_PER_10000 20
#define RESEND_US (200 * RP_US_PER_MS)
#define RESEND_MAX_US (1600 * RP_US_PER_MS)
#define OPEN_TIMEOUT_US (1400 * RP_US_PER_MS)
#define REORDER_US (2 * RP_US_PER_SECOND)
#define REORDER_PACKETS 3

enum host_state { HOST_NONE, HOST_SYN_RECEIVED, HOST_ESTABLISHED };

/* The host's end of a flow. */
struct host_flow {
    enum host_state state;
    uint32_t isn;
    uint32_t next;     /* next byte it will send */
    uint32_t expected; /* next byte it expects */
    int64_t answer_at; /* RP_NEVER: no request is being worked on */
    bool answered;     /* `next` has been sent, and may be sent again */
};

struct upstream {
    struct rp_agent *agent; /* NULL: stopped */
    bool ready;             /* the agent has heard its host */
    int64_t start_at;
    int64_t table_at;
    int64_t ready_at;
    struct rp_table *table;
    struct host_flow flows[FLOWS];
};

enum caller_state { CALLER_IDLE, CALLER_SYN_SENT, CALLER_OPEN, CALLER_ENDED };

struct caller_flow {
    enum caller_state state;
    unsigned balancer;
    uint32_t isn;
    uint32_t acked;    /* end of what the host has acknowledged */
    uint32_t expected; /* next byte of the host */
    int owner;         /* upstream that has the flow */
    int64_t opened_at; /* of the first SYN */
    int64_t next_at;   /* next step: SYN, request or copy of it */
    int64_t resend_after;
    bool is_waiting; /* for an answer */
    unsigned strays; /* packets at other hosts since the last at the owner */
    int64_t stray_since;
};

struct sim_packet {
    enum {
        TO_BALANCER,
        TO_AGENT,
        TO_HOST,
        TO_AGENT_FROM_HOST,
        TO_CALLER,
        HINT_TO_BALANCER,
        LOAD_TO_BALANCER
    } at;
    int64_t time; /* of its arrival */
    unsigned balancer;
    unsigned upstream;
    struct rp_geneve geneve; /* of TO_AGENT and notes to balancers */
    uint8_t bytes[128];
    size_t len;
};

struct stop {
    int64_t time;
    unsigned upstream;
};

struct simulation {
    GRand *random;
    uint32_t seed;
    int64_t now;
    struct rp_chart chart;
    struct rp_counters counters;
    struct upstream upstreams[UPSTREAMS];
    struct rp_table *tables[BALANCERS];
    struct rp_owner_hints *hints[BALANCERS];
    struct rp_load_view *loads[BALANCERS]; /* NULL: no order by load */
    struct caller_flow flows[FLOWS];
    struct stop stops[ROLLOUTS * UPSTREAMS];
    GPtrArray *in_flight;
    uint64_t revision;
    unsigned opened;
    unsigned broken;
    unsigned chosen; /* new flows whose first candidate loads have changed */
};

static int
random_below(struct simulation *sim, int limit)
{
    return g_rand_int_range(sim->random, 0, limit);
}

static struct rp_endpoint
agent_endpoint(unsigned upstream)
{
    return (struct rp_endpoint){.ip = 0x0a000000u + upstream, .port = 1};
}

static struct rp_endpoint
balancer_endpoint(unsigned balancer)
{
    return (struct rp_endpoint){.ip = 0x0a000100u + balancer, .port = 2};
}

static struct rp_flow_key
flow_key(unsigned number)
{
    return (struct rp_flow_key){.src_ip = 0x0a090001,
                                .src_port = (uint16_t)(FIRST_PORT + number),
                                .dst_ip = ADDRESS_IP,
                                .dst_port = ADDRESS_PORT};
}

static void
set_zone_name(struct rp_name *name, unsigned zone)
{
    gchar *text = g_strdup_printf("zone-%u", zone);

    RpName_Set(name, RpStr_FromC(text));
    g_free(text);
}

static void
update_table(struct simulation *sim, struct rp_table *table)
{
    struct rp_msg msg = {.type = RP_MSG_TABLE};
    struct rp_msg_service service = {
        .id = 1,
        .incarnation = 1,
        .address = ADDRESS_IP,
        .port = ADDRESS_PORT,
        .flows_per_upstream = 1000,
        .retries_percent = 100,
        .silence_ms = 30000,
        .long_slots_percent = 50,
        .members = RpSchema_NewList(&rp_msg_member_schema)};

    msg.table.revision = sim->revision;
    msg.table.complete = 1;
    msg.table.services = RpSchema_NewList(&rp_msg_service_schema);
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        const struct upstream *upstream = &sim->upstreams[i];
        struct rp_msg_member member = {.agent_ip = agent_endpoint(i).ip,
                                       .agent_port = 1,
                                       .slots = 2,
                                       .state = upstream->ready
                                                    ? RP_UPSTREAM_READY
                                                    : RP_UPSTREAM_DRAINING};
        gchar *name = g_strdup_printf("up-%u", i);
        RpName_Set(&member.upstream, RpStr_FromC(name));
        g_free(name);
        set_zone_name(&member.zone, i % ZONES);
        g_array_append_val(service.members, member);
    }
    g_array_append_val(msg.table.services, service);
    RpTable_Apply(table, &msg.table);
    RpMsg_Clear(&msg);
}

static void
update_agent_table(struct simulation *sim, struct upstream *upstream)
{
    struct rp_endpoint address = {.ip = ADDRESS_IP, .port = ADDRESS_PORT};

    update_table(sim, upstream->table);
    RpAgent_SetTable(upstream->agent, upstream->table,
                     RpTable_FindByAddress(upstream->table, address));
    RpAgent_TableUpdated(upstream->agent, sim->now);
}

/* Hands a table with the present states to each balancer and to each agent
 * that has one. */
static void
update_all_tables(struct simulation *sim)
{
    sim->revision++;
    for (unsigned i = 0; i < BALANCERS; i++) {
        update_table(sim, sim->tables[i]);
    }
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        struct upstream *upstream = &sim->upstreams[i];
        if (upstream->agent && upstream->table_at == RP_NEVER) {
            update_agent_table(sim, upstream);
        }
    }
}

static void
start_agent(struct simulation *sim, unsigned number)
{
    struct upstream *upstream = &sim->upstreams[number];
    const struct rp_agent_config config = {.self = agent_endpoint(number),
                                           .started = sim->now,
                                           .slots = 2,
                                           .seed = 1};

    upstream->agent = RpAgent_Create(
        &config, &sim->chart, RpAdmission_CreateLeastBusy(), &sim->counters);
    upstream->start_at = RP_NEVER;
}

static void
send_sim_packet(struct simulation *sim, const struct sim_packet *sim_packet)
{
    bool on_machine = sim_packet->at == TO_HOST ||
                      sim_packet->at == TO_AGENT_FROM_HOST;

    if (!on_machine && random_below(sim, 10000) < LOSS_PER_10000) {
        return;
    }
    struct sim_packet *copy = g_memdup2(sim_packet, sizeof *sim_packet);
    copy->time = sim->now + (on_machine ? 0 : TICK_US);
    g_ptr_array_add(sim->in_flight, copy);
}

static void
send_segment(struct simulation *sim, struct sim_packet *sim_packet,
             struct rp_flow_key key, uint8_t flags, uint32_t seq, uint32_t ack,
             unsigned payload)
{
    struct test_packet test;

    make_test_packet(&test, key, flags, seq, ack, payload);
    sim_packet->len = test.packet.len;
    memcpy(sim_packet->bytes, test.bytes, test.packet.len);
    send_sim_packet(sim, sim_packet);
}

static void
send_from_caller(struct simulation *sim, unsigned number, uint8_t flags,
                 unsigned payload)
{
    const struct caller_flow *flow = &sim->flows[number];
    struct sim_packet sim_packet = {.at = TO_BALANCER,
                                    .balancer = flow->balancer};
    uint32_t seq = flags & RP_TCP_SYN ? flow->isn : flow->acked;

    send_segment(sim, &sim_packet, flow_key(number), flags, seq,
                 flow->expected, payload);
}

static void
send_request(struct simulation *sim, unsigned number)
{
    struct caller_flow *flow = &sim->flows[number];

    if (!flow->is_waiting) {
        flow->is_waiting = true;
        flow->resend_after = RESEND_US;
    }
    else {
        flow->resend_after = MIN(2 * flow->resend_after, RESEND_MAX_US);
    }
    flow->next_at = sim->now + flow->resend_after;
    send_from_caller(sim, number, RP_TCP_ACK | RP_TCP_PSH, REQUEST_SIZE);
}

/* Sends what is due: the SYN, its copies after 200 and 600 ms, a request or
 * its copies. */
static void
step_caller(struct simulation *sim, unsigned number)
{
    struct caller_flow *flow = &sim->flows[number];

    if (sim->now < flow->next_at || flow->state == CALLER_ENDED) {
        return;
    }
    if (flow->state == CALLER_OPEN) {
        send_request(sim, number);
        return;
    }
    if (flow->state == CALLER_IDLE) {
        flow->state = CALLER_SYN_SENT;
        flow->isn = (uint32_t)random_below(sim, 1 << 30);
        flow->acked = flow->isn + 1;
        flow->opened_at = sim->now;
        flow->resend_after = RESEND_US;
    }
    else if (sim->now >= flow->opened_at + OPEN_TIMEOUT_US) {
        flow->state = CALLER_ENDED;
        return;
    }
    send_from_caller(sim, number, RP_TCP_SYN, 0);
    flow->next_at = sim->now + flow->resend_after;
    flow->resend_after *= 2;
}

static void
send_from_host(struct simulation *sim, unsigned upstream, unsigned number,
               uint8_t flags, uint32_t seq, uint32_t ack, unsigned payload)
{
    struct sim_packet sim_packet = {.at = TO_AGENT_FROM_HOST,
                                    .upstream = upstream};

    send_segment(sim, &sim_packet, RpFlowKey_Reverse(flow_key(number)), flags,
                 seq, ack, payload);
}

/* Records that a packet of an open flow has reached a host. */
static void
judge_arrival(struct simulation *sim, unsigned upstream, unsigned number)
{
    struct caller_flow *flow = &sim->flows[number];

    if (flow->state != CALLER_OPEN ||
        sim->upstreams[flow->owner].flows[number].state != HOST_ESTABLISHED) {
        return;
    }
    if ((int)upstream == flow->owner) {
        flow->strays = 0;
        return;
    }
    if (flow->strays++ == 0) {
        flow->stray_since = sim->now;
    }
    if (flow->strays >= REORDER_PACKETS &&
        sim->now >= flow->stray_since + REORDER_US) {
        flow->state = CALLER_ENDED;
        sim->broken++;
        print_error("seed %u: packets of flow %u reached other hosts only, "
                    "%u for %" G_GINT64_FORMAT " ms\n",
                    sim->seed, number, flow->strays,
                    (sim->now - flow->stray_since) / RP_US_PER_MS);
    }
}

static void
host_receives_syn(struct simulation *sim, unsigned upstream, unsigned number,
                  const struct rp_packet *packet)
{
    struct host_flow *flow = &sim->upstreams[upstream].flows[number];

    if (flow->state == HOST_NONE) {
        flow->state = HOST_SYN_RECEIVED;
        flow->isn = (uint32_t)random_below(sim, 1 << 30);
        flow->next = flow->isn + 1;
        flow->expected = packet->seq + 1;
        flow->answer_at = RP_NEVER;
    }
    send_from_host(sim, upstream, number, RP_TCP_SYN | RP_TCP_ACK, flow->isn,
                   flow->expected, 0);
}

static void
host_receives(struct simulation *sim, const struct sim_packet *sim_packet)
{
    unsigned upstream = sim_packet->upstream;
    struct rp_packet packet;
    enum rp_counter reason;

    assert_true(
        RpPacket_Parse(sim_packet->bytes, sim_packet->len, &packet, &reason));
    unsigned number = packet.key.src_port - (unsigned)FIRST_PORT;
    struct host_flow *flow = &sim->upstreams[upstream].flows[number];
    if (packet.flags & RP_TCP_SYN) {
        host_receives_syn(sim, upstream, number, &packet);
        return;
    }
    judge_arrival(sim, upstream, number);
    if (packet.flags & RP_TCP_RST) {
        if (packet.seq == flow->expected) {
            flow->state = HOST_NONE;
        }
        return;
    }
    if (flow->state == HOST_NONE ||
        (flow->state == HOST_SYN_RECEIVED && packet.ack != flow->next)) {
        send_from_host(sim, upstream, number, RP_TCP_RST, packet.ack, 0, 0);
        return;
    }
    flow->state = HOST_ESTABLISHED;
    if (packet.payload_len == 0) {
        return;
    }
    if (packet.seq == flow->expected) {
        flow->expected += packet.payload_len;
        flow->next += flow->answered ? REQUEST_SIZE : 0;
        flow->answered = false;
        flow->answer_at = sim->now + WORK_US;
    }
    else if (flow->answered) {
        flow->answer_at = sim->now; /* a copy: its answer was lost */
    }
}

static void
step_host(struct simulation *sim, unsigned upstream, unsigned number)
{
    struct host_flow *flow = &sim->upstreams[upstream].flows[number];

    if (flow->state == HOST_ESTABLISHED && sim->now >= flow->answer_at) {
        flow->answer_at = RP_NEVER;
        flow->answered = true;
        send_from_host(sim, upstream, number, RP_TCP_ACK | RP_TCP_PSH,
                       flow->next, flow->expected, REQUEST_SIZE);
    }
}

static void
caller_receives(struct simulation *sim, const struct sim_packet *sim_packet)
{
    struct rp_packet packet;
    enum rp_counter reason;

    assert_true(
        RpPacket_Parse(sim_packet->bytes, sim_packet->len, &packet, &reason));
    unsigned number = packet.key.dst_port - (unsigned)FIRST_PORT;
    struct caller_flow *flow = &sim->flows[number];
    if (packet.flags & RP_TCP_RST) {
        if (flow->state == CALLER_OPEN && packet.seq == flow->expected) {
            print_error("seed %u: open flow %u was reset\n", sim->seed,
                        number);
            sim->broken++;
        }
        flow->state = CALLER_ENDED;
        return;
    }
    if (flow->state == CALLER_SYN_SENT && (packet.flags & RP_TCP_SYN) &&
        packet.ack == flow->isn + 1) {
        flow->state = CALLER_OPEN;
        flow->owner = (int)sim_packet->upstream;
        flow->expected = packet.seq + 1;
        sim->opened++;
        send_request(sim, number);
        return;
    }
    if (flow->state == CALLER_OPEN && flow->is_waiting &&
        packet.payload_len > 0 && packet.seq == flow->expected &&
        packet.ack == flow->acked + REQUEST_SIZE) {
        flow->is_waiting = false;
        flow->acked = packet.ack;
        flow->expected += packet.payload_len;
        flow->next_at = sim->now +
                        random_below(sim, MAX_PAUSE_MS) * RP_US_PER_MS;
        send_from_caller(sim, number, RP_TCP_ACK, 0);
    }
}

static void
balancer_receives(struct simulation *sim, const struct sim_packet *sim_packet)
{
    struct rp_packet packet;
    struct rp_route route;
    enum rp_counter reason;
    struct sim_packet next = *sim_packet;

    assert_true(
        RpPacket_Parse(sim_packet->bytes, sim_packet->len, &packet, &reason));
    const struct rp_table *table = sim->tables[sim_packet->balancer];
    const struct rp_load_order order = {
        .view = sim->loads[sim_packet->balancer],
        .now = sim->now,
        .spill = true};
    RpBalancer_RouteByLoad(table, order.view ? &order : NULL, &packet, &route);
    RpBalancer_PreferOwner(table, sim->hints[sim_packet->balancer], sim->now,
                           &packet, &route);
    if (order.view && RpPacket_Opens(&packet)) {
        RpBalancer_NoteChoice(sim->hints[sim_packet->balancer], sim->now,
                              &packet, &route);
    }
    sim->chosen += route.reason == RP_COUNT_ROUTED_BY_LOAD;
    if (route.kind == RP_ROUTE_SEND) {
        next.at = TO_AGENT;
        next.upstream = route.chain.hop[0].ip & 0xff;
        next.geneve = (struct rp_geneve){.has_tag = true,
                                         .has_chain = true,
                                         .tag = route.tag,
                                         .chain = route.chain};
        next.geneve.chain.visited = 1;
        if (order.view || !RpPacket_Opens(&packet)) {
            next.geneve.chain.origin = balancer_endpoint(sim_packet->balancer);
        }
        send_sim_packet(sim, &next);
    }
}

static void
balancer_receives_hint(struct simulation *sim,
                       const struct sim_packet *sim_packet)
{
    unsigned number = sim_packet->balancer;
    const struct rp_owner_hint *hint = &sim_packet->geneve.hint;

    RpOwnerHints_Put(sim->hints[number], sim->now,
                     RpTable_HashFlow(sim->tables[number], hint->flow), hint,
                     agent_endpoint(sim_packet->upstream));
}

static void
perform_actions(struct simulation *sim, unsigned upstream,
                const struct rp_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++) {
        const struct rp_action *action = &actions->item[i];
        struct sim_packet sim_packet = {.upstream = upstream};
        switch (action->kind) {
        case RP_ACTION_TO_HOST:
            sim_packet.at = TO_HOST;
            break;
        case RP_ACTION_TO_CALLER:
            sim_packet.at = TO_CALLER;
            break;
        case RP_ACTION_TO_NEXT_AGENT:
            sim_packet.at = TO_AGENT;
            sim_packet.upstream = action->next.ip & 0xff;
            sim_packet.geneve = (struct rp_geneve){.has_tag = true,
                                                   .has_chain = true,
                                                   .tag = action->tag,
                                                   .chain = action->chain};
            break;
        case RP_ACTION_LOAD_NOTE:
            sim_packet.at = LOAD_TO_BALANCER;
            sim_packet.balancer = action->next.ip & 0xff;
            sim_packet.geneve.load = action->load;
            send_sim_packet(sim, &sim_packet);
            continue;
        case RP_ACTION_HINT:
            sim_packet.at = HINT_TO_BALANCER;
            sim_packet.balancer = action->next.ip & 0xff;
            sim_packet.geneve.hint = action->hint;
            send_sim_packet(sim, &sim_packet);
            continue;
        default:
            continue;
        }
        sim_packet.len = action->len;
        memcpy(sim_packet.bytes, action->data, action->len);
        send_sim_packet(sim, &sim_packet);
    }
}

static void
agent_receives(struct simulation *sim, const struct sim_packet *sim_packet)
{
    struct upstream *upstream = &sim->upstreams[sim_packet->upstream];
    struct rp_actions actions = {0};
    struct rp_packet packet;
    enum rp_counter reason;

    if (!upstream->agent) {
        return;
    }
    assert_true(
        RpPacket_Parse(sim_packet->bytes, sim_packet->len, &packet, &reason));
    if (sim_packet->at == TO_AGENT_FROM_HOST) {
        RpAgent_FromHost(upstream->agent, sim->now, &packet, &actions);
    }
    else {
        RpAgent_FromCaller(upstream->agent, sim->now, &packet,
                           &sim_packet->geneve, &actions);
    }
    perform_actions(sim, sim_packet->upstream, &actions);
}

static void
print_sim_packet(const struct simulation *sim,
                 const struct sim_packet *sim_packet)
{
    static const char *const places[] = {"balancer",        "agent",  "host",
                                         "agent from host", "caller", "hint"};
    struct rp_packet packet;
    enum rp_counter reason;

    if (!g_getenv("RP_TRACE") ||
        !RpPacket_Parse(sim_packet->bytes, sim_packet->len, &packet,
                        &reason)) {
        return;
    }
    bool to_caller = packet.key.src_port == ADDRESS_PORT;
    print_message("%" G_GINT64_FORMAT " flow %u at %s %u%s flags=%02x seq=%u "
                  "ack=%u len=%u visited=%u/%u\n",
                  sim->now / RP_US_PER_MS,
                  (to_caller ? packet.key.dst_port : packet.key.src_port) -
                      (unsigned)FIRST_PORT,
                  places[sim_packet->at],
                  sim_packet->at == TO_BALANCER ? sim_packet->balancer
                                                : sim_packet->upstream,
                  sim_packet->at == TO_AGENT &&
                          !sim->upstreams[sim_packet->upstream].agent
                      ? " (stopped)"
                      : "",
                  packet.flags, packet.seq, packet.ack, packet.payload_len,
                  sim_packet->geneve.chain.visited,
                  sim_packet->geneve.chain.count);
}

/* Delivers what has arrived, also what is sent on the machine meanwhile. */
static void
deliver_due(struct simulation *sim)
{
    for (guint i = 0; i < sim->in_flight->len;) {
        struct sim_packet *sim_packet = g_ptr_array_index(sim->in_flight, i);
        if (sim_packet->time > sim->now) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(sim->in_flight, i);
        print_sim_packet(sim, sim_packet);
        switch (sim_packet->at) {
        case TO_BALANCER:
            balancer_receives(sim, sim_packet);
            break;
        case TO_AGENT:
        case TO_AGENT_FROM_HOST:
            agent_receives(sim, sim_packet);
            break;
        case TO_HOST:
            host_receives(sim, sim_packet);
            break;
        case TO_CALLER:
            caller_receives(sim, sim_packet);
            break;
        case HINT_TO_BALANCER:
            balancer_receives_hint(sim, sim_packet);
            break;
        case LOAD_TO_BALANCER:
            assert_true(RpLoadView_Put(sim->loads[sim_packet->balancer],
                                       sim->now,
                                       agent_endpoint(sim_packet->upstream),
                                       &sim_packet->geneve.load));
            break;
        }
        g_free(sim_packet);
    }
}

/* Stops an agent whose turn has come in a rollout. One that is down already is
 * left as it is. */
static void
run_rollouts(struct simulation *sim)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sim->stops); i++) {
        struct upstream *upstream = &sim->upstreams[sim->stops[i].upstream];
        if (sim->stops[i].time != sim->now || !upstream->agent) {
            continue;
        }
        RpAgent_Free(upstream->agent);
        upstream->agent = NULL;
        upstream->start_at = sim->now + DOWN_US;
        upstream->table_at = RP_NEVER;
        upstream->ready_at = RP_NEVER;
    }
}

static void
step_upstream(struct simulation *sim, unsigned number)
{
    struct upstream *upstream = &sim->upstreams[number];
    struct rp_actions actions = {0};

    if (sim->now >= upstream->start_at) {
        start_agent(sim, number);
        upstream->table_at = sim->now + FIRST_TABLE_US;
        upstream->ready_at = sim->now +
                             (1 + random_below(sim, REPORT_INTERVAL_MS)) *
                                 RP_US_PER_MS;
        upstream->ready = false;
        update_all_tables(sim);
    }
    if (sim->now >= upstream->table_at) {
        upstream->table_at = RP_NEVER;
        update_agent_table(sim, upstream);
    }
    if (sim->now >= upstream->ready_at) {
        upstream->ready_at = RP_NEVER;
        upstream->ready = true;
        update_all_tables(sim);
    }
    while (upstream->agent &&
           RpAgent_OnTimer(upstream->agent, sim->now, &actions)) {
        perform_actions(sim, number, &actions);
    }
    for (unsigned i = 0; i < FLOWS; i++) {
        step_host(sim, number, i);
    }
}

static void
plan_rollouts(struct simulation *sim)
{
    for (unsigned i = 0; i < ROLLOUTS; i++) {
        unsigned order[UPSTREAMS] = {0};
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            unsigned other = (unsigned)random_below(sim, (int)j + 1);
            order[j] = order[other];
            order[other] = j;
        }
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            sim->stops[i * UPSTREAMS + j] = (struct stop){
                .time = FIRST_ROLLOUT_US + i * ROLLOUT_SHIFT_US +
                        j * ROLLOUT_STEP_US,
                .upstream = order[j]};
        }
    }
}

/* Whether balancers choose by load. */
static bool orders_by_load;
static unsigned chosen;

static void
init_simulation(struct simulation *sim, uint32_t seed)
{
    sim->seed = seed;
    sim->random = g_rand_new_with_seed(seed);
    sim->in_flight = g_ptr_array_new_with_free_func(g_free);
    assert_int_equal(RpFlowChart_Load(&sim->chart, NULL), RP_OK);
    for (unsigned i = 0; i < BALANCERS; i++) {
        struct rp_name zone;
        set_zone_name(&zone, i);
        sim->tables[i] = RpTable_Create();
        sim->hints[i] = RpOwnerHints_Create();
        sim->loads[i] = orders_by_load ? RpLoadView_Create() : NULL;
        RpTable_PreferZone(sim->tables[i], &zone, ZONE_WEIGHT);
    }
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        struct upstream *upstream = &sim->upstreams[i];
        upstream->table = RpTable_Create();
        upstream->table_at = RP_NEVER;
        upstream->ready_at = RP_NEVER;
        upstream->ready = true;
        start_agent(sim, i);
    }
    update_all_tables(sim);
    for (unsigned i = 0; i < FLOWS; i++) {
        sim->flows[i].balancer = i % BALANCERS;
        sim->flows[i].next_at = random_below(sim, LAST_OPEN_MS) * RP_US_PER_MS;
    }
    plan_rollouts(sim);
}

static void
clear_simulation(struct simulation *sim)
{
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        RpAgent_Free(sim->upstreams[i].agent);
        RpTable_Free(sim->upstreams[i].table);
    }
    for (unsigned i = 0; i < BALANCERS; i++) {
        RpTable_Free(sim->tables[i]);
        RpOwnerHints_Free(sim->hints[i]);
        RpLoadView_Free(sim->loads[i]);
    }
    g_ptr_array_unref(sim->in_flight);
    g_rand_free(sim->random);
}

static unsigned opened_flows;

/* Runs one seed and returns how many open flows broke. */
static unsigned
run_seed(uint32_t seed)
{
    static struct simulation sim;

    memset(&sim, 0, sizeof sim);
    init_simulation(&sim, seed);
    for (; sim.now < END_US; sim.now += TICK_US) {
        run_rollouts(&sim);
        for (unsigned i = 0; i < UPSTREAMS; i++) {
            step_upstream(&sim, i);
        }
        for (unsigned i = 0; i < FLOWS; i++) {
            step_caller(&sim, i);
        }
        deliver_due(&sim);
    }
    if (sim.broken > 0) {
        print_error("repeat with: RP_SEED=%u build/tests/test_rollouts\n",
                    seed);
    }
    opened_flows += sim.opened;
    chosen += sim.chosen;
    unsigned broken = sim.broken;
    clear_simulation(&sim);
    return broken;
}

static void
check_overlapping_rollouts(void)
{
    uint32_t ran;

    opened_flows = 0;
    chosen = 0;
    unsigned broken = run_seeds(run_seed, DEFAULT_SEEDS, extra_seeds,
                                G_N_ELEMENTS(extra_seeds), &ran);
    print_message("%u seeds, %u flows opened, %u SYNs by load, %u broken\n",
                  ran, opened_flows, chosen, broken);
    assert_true(opened_flows > ran * FLOWS * 3 / 4);
    assert_int_equal(broken, 0);
}

static void
test_overlapping_rollouts(void **state)
{
    (void)state;
    check_overlapping_rollouts();
}

/* The same where balancers choose among a new flow's candidates by the loads
 * that agents tell. */
static void
test_overlapping_rollouts_with_loads(void **state)
{
    (void)state;
    orders_by_load = true;
    check_overlapping_rollouts();
    assert_true(chosen > opened_flows / 10);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_overlapping_rollouts),
        cmocka_unit_test(test_overlapping_rollouts_with_loads),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
