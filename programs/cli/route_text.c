/* Plays a packet through the decisions of a balancer and of the agents on its
 * way, and describes each. See route_text.h. */
#include "route_text.h"

#include "rp_admission.h"
#include "rp_balancer.h"

#define SAMPLE_IP 0xc0000201u /* 192.0.2.1, an address for documentation */
#define SAMPLE_FIRST_PORT 1024

/* What the steps are made from. */
struct explanation {
    const struct rp_msg_table *table;
    const struct rp_msg_status *load; /* NULL: unknown */
    const struct rp_route_question *question;
    struct rp_table *routes;
    GPtrArray *steps; /* of char * */
};

static void add_step(struct explanation *explanation, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
add_step(struct explanation *explanation, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_ptr_array_add(explanation->steps, g_strdup_vprintf(format, args));
    va_end(args);
}

/* Returns what a member's state means for a packet that opens a flow, or for
 * one of an open flow. */
static const char *
describe_state(uint8_t state, bool open)
{
    switch (state) {
    case RP_UPSTREAM_READY:
        return "ready";
    case RP_UPSTREAM_DRAINING:
        return open ? "draining: keeps its open flows"
                    : "draining: takes no new flow";
    case RP_UPSTREAM_LOST:
        return open ? "lost: its lease has ended, asked last"
                    : "lost: its lease has ended, gets no new flow";
    default:
        return "gone";
    }
}

static const struct rp_msg_service *
find_service(const struct explanation *explanation, uint32_t id)
{
    const GArray *services = explanation->table->services;

    for (guint i = 0; services && i < services->len; i++) {
        const struct rp_msg_service *service = &g_array_index(
            services, struct rp_msg_service, i);
        if (service->id == id) {
            return service;
        }
    }
    return NULL;
}

static const struct rp_msg_member *
find_member(const struct rp_msg_service *service, struct rp_endpoint agent)
{
    for (guint i = 0; service && i < service->members->len; i++) {
        const struct rp_msg_member *member = &g_array_index(
            service->members, struct rp_msg_member, i);
        if (member->agent_ip == agent.ip && member->agent_port == agent.port) {
            return member;
        }
    }
    return NULL;
}

static const struct rp_msg_upstream_info *
find_load(const struct explanation *explanation, const struct rp_name *name)
{
    const GArray *rows = explanation->load ? explanation->load->upstreams
                                           : NULL;

    for (guint i = 0; rows && i < rows->len; i++) {
        const struct rp_msg_upstream_info *row = &g_array_index(
            rows, struct rp_msg_upstream_info, i);
        if (RpName_Equal(&row->upstream, name)) {
            return row;
        }
    }
    return NULL;
}

/* Returns the load of a member as control knows it; the caller frees it. */
static char *
format_load(const struct rp_msg_upstream_info *row)
{
    if (!row) {
        return g_strdup("load unknown");
    }
    if (!row->heard_here) {
        return g_strdup_printf("busy=%u flows=%u when its agent last reported "
                               "a change",
                               row->busy, row->flows);
    }
    return g_strdup_printf("busy=%u flows=%u %u ms ago", row->busy, row->flows,
                           row->age_ms);
}

static void
describe_table(struct explanation *explanation)
{
    const struct rp_msg_table *table = explanation->table;

    add_step(explanation, "table revision=%" G_GUINT64_FORMAT "%s%s",
             table->revision,
             table->gathering ? ": the control instance has just started, "
                                "members may be missing"
                              : "",
             table->cut_off ? ": the control instance is cut off from the "
                              "majority, the table may be old"
                            : "");
}

static void
describe_address(struct explanation *explanation)
{
    struct rp_endpoint address = explanation->question->address;
    const struct rp_vip *vip = RpTable_FindVip(explanation->routes, address);
    char text[RP_ENDPOINT_TEXT_MAX];

    RpEndpoint_Format(address, text);
    if (!vip) {
        const struct rp_service *service = RpTable_FindByAddress(
            explanation->routes, address);
        add_step(explanation, "address %s: %s%s", text,
                 service ? "the own address of service "
                         : "no service is at this address",
                 service ? service->name.data : "");
        return;
    }
    add_step(explanation,
             "address %s: virtual, priority=%u target_ms=%u timeout_ms=%u",
             text, vip->priority, vip->target_ms, vip->timeout_ms);
    for (size_t i = 0; i < vip->count; i++) {
        const struct rp_service *service = RpTable_FindById(
            explanation->routes, vip->targets[i].service_id);
        add_step(explanation, "target %s weight=%u of %u%s",
                 service ? service->name.data : "unknown",
                 vip->targets[i].weight, vip->weight_sum,
                 vip->targets[i].weight ? "" : ": only open flows");
    }
}

static struct rp_packet
make_packet(const struct rp_route_question *question, struct rp_endpoint from)
{
    return (struct rp_packet){.key = {.src_ip = from.ip,
                                      .src_port = from.port,
                                      .dst_ip = question->address.ip,
                                      .dst_port = question->address.port},
                              .flags = question->open ? RP_TCP_ACK
                                                      : RP_TCP_SYN};
}

/* Describes what the agent of a candidate would do with a SYN by the load that
 * control knows, and records the load in the chain as the agent does. Returns
 * whether it takes the flow. */
static bool
describe_admission(struct explanation *explanation,
                   struct rp_admission *policy, struct rp_chain *chain,
                   size_t index, const struct rp_msg_service *service,
                   const struct rp_msg_upstream_info *row)
{
    const struct rp_vip *vip = RpTable_FindVip(explanation->routes,
                                               explanation->question->address);
    const struct rp_load load = {
        .slots = MAX(row->slots, 1),
        .busy = row->busy,
        .flows = row->flows,
        .flow_limit = service->flows_per_upstream,
        .position = (uint32_t)index,
        .lowest_utilisation = chain->lowest_utilisation,
        .last = index + 1u == chain->count,
        .priority = vip ? vip->priority : 0,
        .target_us = vip ? vip->target_ms * (uint32_t)RP_US_PER_MS : 0};
    enum rp_counter reason;
    static const char *const decisions[] = {
        [RP_DECISION_ADMIT] = "takes the flow",
        [RP_DECISION_PASS_ON] = "passes the flow on",
        [RP_DECISION_PASS_BACK] = "sends the flow back to the least busy one",
        [RP_DECISION_REFUSE] = "refuses the flow"};

    enum rp_decision decision = RpAdmission_Decide(policy, &load, &reason);
    add_step(explanation, "  by that load its agent %s (%s)",
             decisions[decision], RpCounter_Name(reason));
    if (reason == RP_COUNT_PASS_BUSY) {
        chain->lowest_utilisation = MIN(chain->lowest_utilisation,
                                        RpLoad_Utilisation(&load));
    }
    return decision == RP_DECISION_ADMIT;
}

static void
describe_candidates(struct explanation *explanation,
                    const struct rp_route *route)
{
    struct rp_admission *policy = RpAdmission_CreateLatencyTarget();
    struct rp_chain chain = route->chain;
    bool open = explanation->question->open;
    bool taken = open;

    for (size_t i = 0; i < chain.count; i++) {
        const struct rp_service_tag tag = RpChain_HopTag(&chain, i,
                                                         route->tag);
        const struct rp_msg_service *service = find_service(explanation,
                                                            tag.service_id);
        const struct rp_msg_member *member = find_member(service,
                                                         chain.hop[i]);
        char agent[RP_ENDPOINT_TEXT_MAX];
        if (!member) {
            continue;
        }
        const struct rp_msg_upstream_info *row = find_load(explanation,
                                                           &member->upstream);
        char *load = format_load(row);
        add_step(explanation,
                 "candidate %zu: %s of %s agent=%s zone=%s slots=%u %s; %s",
                 i + 1, member->upstream.data, service->name.data,
                 RpEndpoint_Format(chain.hop[i], agent), member->zone.data,
                 member->slots, describe_state(member->state, open), load);
        if (row && !taken) {
            taken = describe_admission(explanation, policy, &chain, i, service,
                                       row);
        }
        g_free(load);
    }
    RpAdmission_Free(policy);
}

/* Describes the members of the service that get no new flow, and its limits of
 * cold hosts. */
static void
describe_service(struct explanation *explanation,
                 const struct rp_msg_service *service)
{
    bool open = explanation->question->open;

    for (guint i = 0; !open && i < service->members->len; i++) {
        const struct rp_msg_member *member = &g_array_index(
            service->members, struct rp_msg_member, i);
        if (member->state != RP_UPSTREAM_READY) {
            add_step(explanation, "not a candidate: %s zone=%s %s",
                     member->upstream.data, member->zone.data,
                     describe_state(member->state, open));
        }
    }
    if (service->cold_per_1000_s > 0 && !open) {
        add_step(explanation,
                 "a cold host gets %u.%03u new flows a second at most; only "
                 "its agent knows if it is cold",
                 service->cold_per_1000_s / 1000,
                 service->cold_per_1000_s % 1000);
    }
}

/* Describes the end of a route: where the packet goes first, or why it goes
 * nowhere. */
static void
describe_end(struct explanation *explanation, const struct rp_route *route)
{
    static const char *const ends[] = {
        [RP_ROUTE_SEND] = "goes to candidate 1",
        [RP_ROUTE_RESET] = "is refused with a reset",
        [RP_ROUTE_DROP] = "is dropped",
        [RP_ROUTE_WAIT] = "waits for the next table"};

    add_step(explanation, "result: the packet %s (%s)", ends[route->kind],
             RpCounter_Name(route->reason));
    if (route->kind != RP_ROUTE_SEND) {
        return;
    }
    add_step(explanation,
             explanation->question->open
                 ? "unknown here: which of the agents owns the flow, and "
                   "hints that balancers have; the others pass it on"
                 : "unknown here: the load and health at the moment of the "
                   "packet, and copies of the SYN, which go to other "
                   "candidates first");
}

static bool
explain_flow(struct explanation *explanation)
{
    const struct rp_route_question *question = explanation->question;
    struct rp_packet packet = make_packet(question, question->from);
    struct rp_route route;
    char text[RP_ENDPOINT_TEXT_MAX];

    RpBalancer_Route(explanation->routes, &packet, &route);
    const struct rp_msg_service *service = find_service(explanation,
                                                        route.tag.service_id);
    if (service) {
        add_step(explanation,
                 "flow from %s: hash=%016" G_GINT64_MODIFIER
                 "x selects service %s",
                 RpEndpoint_Format(question->from, text), route.flow_hash,
                 service->name.data);
        describe_candidates(explanation, &route);
        describe_service(explanation, service);
    }
    describe_end(explanation, &route);
    return route.kind == RP_ROUTE_SEND;
}

/* Adds a step for each member that is the first candidate of some of the
 * sample's callers. */
static void
describe_shares(struct explanation *explanation, GHashTable *counts)
{
    const GArray *services = explanation->table->services;

    for (guint i = 0; services && i < services->len; i++) {
        const struct rp_msg_service *service = &g_array_index(
            services, struct rp_msg_service, i);
        for (guint j = 0; j < service->members->len; j++) {
            const struct rp_msg_member *member = &g_array_index(
                service->members, struct rp_msg_member, j);
            guint count = GPOINTER_TO_UINT(
                g_hash_table_lookup(counts, member));
            if (count > 0) {
                add_step(explanation,
                         "%u of %d sample callers: first candidate is %s of "
                         "%s zone=%s slots=%u",
                         count, RP_ROUTE_SAMPLE, member->upstream.data,
                         service->name.data, member->zone.data, member->slots);
            }
        }
    }
}

/* Counts, for a sample of callers, how often each member is the first
 * candidate and why others are not served. */
static bool
explain_sample(struct explanation *explanation)
{
    const struct rp_route_question *question = explanation->question;
    GHashTable *counts = g_hash_table_new(g_direct_hash, g_direct_equal);
    unsigned unserved[RP_COUNTER_COUNT] = {0};
    unsigned sent = 0;

    for (unsigned i = 0; i < RP_ROUTE_SAMPLE; i++) {
        const struct rp_endpoint from = {
            .ip = SAMPLE_IP, .port = (uint16_t)(SAMPLE_FIRST_PORT + i)};
        struct rp_packet packet = make_packet(question, from);
        struct rp_route route;
        RpBalancer_Route(explanation->routes, &packet, &route);
        if (route.kind != RP_ROUTE_SEND) {
            unserved[route.reason]++;
            continue;
        }
        gpointer member = (gpointer)find_member(
            find_service(explanation, route.tag.service_id),
            route.chain.hop[0]);
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, member));
        g_hash_table_insert(counts, member, GUINT_TO_POINTER(count + 1));
        sent++;
    }
    describe_shares(explanation, counts);
    for (size_t i = 0; i < RP_COUNTER_COUNT; i++) {
        if (unserved[i] > 0) {
            add_step(explanation, "%u of %d sample callers: not served (%s)",
                     unserved[i], RP_ROUTE_SAMPLE,
                     RpCounter_Name((enum rp_counter)i));
        }
    }
    g_hash_table_destroy(counts);
    return sent > 0;
}

GPtrArray *
RpRouteText_Explain(const struct rp_msg_table *table,
                    const struct rp_msg_status *load,
                    const struct rp_route_question *question, bool *served)
{
    struct explanation explanation = {
        .table = table,
        .load = load,
        .question = question,
        .routes = RpTable_Create(),
        .steps = g_ptr_array_new_with_free_func(g_free)};

    RpTable_PreferZone(explanation.routes, &question->zone,
                       question->zone_weight);
    RpTable_Apply(explanation.routes, table);
    describe_table(&explanation);
    describe_address(&explanation);
    if (question->zone.len > 0) {
        add_step(&explanation,
                 "balancer: in zone %s, whose members have %u times the "
                 "weight; the last candidate is of another zone",
                 question->zone.data, question->zone_weight);
    }
    else {
        add_step(&explanation, "balancer: any, without a preferred zone; all "
                               "of them decide alike");
    }
    *served = question->from.port != 0 ? explain_flow(&explanation)
                                       : explain_sample(&explanation);
    RpTable_Free(explanation.routes);
    return explanation.steps;
}
