/* clang-format off */
/* Runs a scripted session against one agent and prints the actions that the
 * agent returns.
 *
 * A script has one command a line; '#' starts a comment.
 *
 *   service ID INCARNATION ADDR:PORT FLOW-LIMIT RETRIES-PERCENT
 *           [LONG-SLOTS-PERCENT]     sets the service
 *   cold-rate PER-1000-S             sets how many new flows its cold hosts get
 *                                    in 1,000 s; sends a table
 *   cold MS                          the host is cold until then
 *   member NAME SLOTS STATE [ZONE]   adds or changes a member; NAME is one
 *                                    letter
 *   evacuated [ZONE...]              sets the evacuated data centres
 *   agent NAME SLOTS [FROM UNTIL]    starts the agent of that member, in its
 *                                    data centre; its host is in its cold
 *                                    start from FROM to UNTIL (milliseconds)
 *   agent-without-table NAME SLOTS   the same, but the agent gets no table
 *   sibling ID ADDR:PORT NAME [TARGET-MS]
 *                                    adds a second service, with member NAME,
 *                                    and a virtual address for both, whose
 *                                    requests have this target latency
 *   unlisted                         the address of the sibling had further
 *                                    services, which tables do not list
 *   at MS                            sets the time, in milliseconds
 *   connected | disconnected         sets whether control is connected
 *   gathering | complete             whether later tables may lack members;
 *                                    sends one
 *   origin NAME                      the balancer of later packets from
 *                                    callers takes hints at this endpoint
 *   search ID FLAGS PORT SEQ ACK LEN AGENT
 *                                    a search of AGENT for the packet's owner
 *   search-answer ID AGENT owns|not_owned|unsure
 *                                    the answer of AGENT to a search
 *   caller FLAGS PORT SEQ ACK LEN CHAIN [tag ID INCARNATION]
 *                                       [best INDEX UTILISATION [forced]]
 *                                    a packet from the caller
 *   host FLAGS PORT SEQ ACK LEN      a packet from the host
 *   host-returns FLAGS PORT SEQ ACK LEN
 *                                    the host returns a caller's packet
 *   host-state ready|unheard|draining|gone
 *                                    sets the host's state; unheard is
 *                                    RP_HOST_UNKNOWN
 *   host-heard                       the host has sent a report
 *   knows-all-flows                  the agent has run since before its host
 *   host-restarts                    the host says that it has restarted
 *   host-ends                        the host has ended, its flows are over
 *   format platform                  uses the platform's packet format
 *   run-timers                       calls RpAgent_OnTimer until it is done
 *   drain | resume                   sets whether the agent is draining
 *   show PORT                        prints the flow's state and the load
 *
 * FLAGS are letters of S, A, F, R and P. PORT is the caller's port, at
 * 10.9.0.1. CHAIN lists member names; a '|' follows the visited ones, and
 * those of the sibling service follow a '/'. */
/* clang-format on */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rp_agent.h"
#include "rp_bytes.h"
#include "rp_flow_chart.h"
#include "rp_platform.h"
#include "rp_time.h"

#define CALLER_IP 0x0a090001u
#define MAX_WORDS 16
#define PACKET_MAX 4096

struct session {
    struct rp_msg table;
    struct rp_msg_service service;
    struct rp_msg_service sibling; /* id 0: not set */
    struct rp_msg_vip vip;
    struct rp_table *routes;
    bool gathering;
    GArray *evacuated; /* of struct rp_msg_zone */
    struct rp_chart chart;
    struct rp_counters counters;
    struct rp_agent *agent;
    struct rp_actions actions;
    const struct rp_codec *codec;
    struct rp_endpoint origin; /* of callers' packets */
    int64_t now;
    uint64_t revision;
};

/* The agent of member "a" is at 10.0.0.97:1, that of "b" at 10.0.0.98:1. */
static struct rp_endpoint
member_endpoint(const char *name)
{
    return (struct rp_endpoint){.ip = 0x0a000000u + (uint8_t)name[0],
                                .port = 1};
}

static char
member_name(struct rp_endpoint endpoint)
{
    return (char)(endpoint.ip & 0xff);
}

static uint32_t
parse_number(const char *word)
{
    return (uint32_t)strtoul(word, NULL, 10);
}

static int64_t
parse_ms(const char *word)
{
    return parse_number(word) * RP_US_PER_MS;
}

static uint8_t
parse_flags(const char *word)
{
    static const char letters[] = "FSRPA";
    uint8_t flags = 0;

    for (; *word; word++) {
        const char *found = strchr(letters, *word);
        if (found) {
            flags |= (uint8_t)(1u << (found - letters));
        }
    }
    return flags;
}

static void
print_flags(uint8_t flags)
{
    static const char letters[] = "FSRPA";

    for (int i = 0; letters[i]; i++) {
        if (flags >> i & 1) {
            putchar(letters[i]);
        }
    }
}

static void
print_chain(const struct rp_chain *chain)
{
    printf(" chain=");
    for (uint8_t i = 0; i < chain->count; i++) {
        bool changes = chain->service_count > 0 && i > 0 &&
                       chain->hop_service[i] != chain->hop_service[i - 1];
        printf("%s%s%c", i == chain->visited ? "|" : "", changes ? "/" : "",
               member_name(chain->hop[i]));
    }
    if (chain->visited == chain->count) {
        putchar('|');
    }
    if (chain->lowest_utilisation != RP_CHAIN_NO_UTILISATION) {
        printf(" best=%c/%u%s", member_name(chain->hop[chain->best]),
               chain->lowest_utilisation, chain->forced ? " forced" : "");
    }
    if (chain->origin.port != 0) {
        printf(" origin=%c", member_name(chain->origin));
    }
}

static void
print_action(const struct session *session, const struct rp_action *action)
{
    static const char *const kinds[] = {
        "drop",   "to_host",       "to_caller", "to_next_agent",
        "search", "search_answer", "hint",      "load_note"};
    static const char *const verdicts[] = {"none", "owns", "not_owned",
                                           "unsure"};
    struct rp_packet packet;
    enum rp_counter reason;

    printf("  %s reason=%s", kinds[action->kind],
           RpCounter_Name(action->reason));
    if (action->data && session->codec->ops->parse(action->data, action->len,
                                                   &packet, &reason)) {
        printf(" flags=");
        print_flags(packet.flags);
        printf(" seq=%u ack=%u len=%u", packet.seq, packet.ack,
               packet.payload_len);
    }
    if (action->kind == RP_ACTION_TO_NEXT_AGENT) {
        printf(" next=%c", member_name(action->next));
        if (action->tag.service_id != session->service.id) {
            printf(" service=%u", action->tag.service_id);
        }
        print_chain(&action->chain);
    }
    if (action->kind == RP_ACTION_SEARCH) {
        printf(" id=%u service=%u agents=", action->search_id,
               action->tag.service_id);
        for (size_t i = 0; i < action->target_count; i++) {
            putchar(member_name(action->targets[i]));
        }
    }
    if (action->kind == RP_ACTION_SEARCH_ANSWER) {
        printf(" id=%u next=%c verdict=%s", action->search_id,
               member_name(action->next), verdicts[action->verdict]);
    }
    if (action->kind == RP_ACTION_HINT) {
        printf(" next=%c port=%u service=%u seq=%u", member_name(action->next),
               action->hint.flow.src_port, action->hint.service_id,
               action->hint.seq);
    }
    if (action->kind == RP_ACTION_LOAD_NOTE) {
        printf(" next=%c service=%u utilisation=%u", member_name(action->next),
               action->load.service_id, action->load.utilisation);
    }
    printf("\n");
}

static void
print_actions(const struct session *session)
{
    for (size_t i = 0; i < session->actions.count; i++) {
        print_action(session, &session->actions.item[i]);
    }
}

static void
set_table(struct session *session)
{
    struct rp_msg_table table = {
        .revision = ++session->revision,
        .complete = 1,
        .gathering = session->gathering,
        .evacuated = session->evacuated,
        .services = RpSchema_NewList(&rp_msg_service_schema)};

    g_array_append_val(table.services, session->service);
    if (session->sibling.id) {
        table.vips = RpSchema_NewList(&rp_msg_vip_schema);
        g_array_append_val(table.services, session->sibling);
        g_array_append_val(table.vips, session->vip);
    }
    RpTable_Apply(session->routes, &table);
    g_array_free(table.services, TRUE);
    if (table.vips) {
        g_array_free(table.vips, TRUE);
    }
    if (session->agent) {
        RpAgent_SetTable(
            session->agent, session->routes,
            RpTable_FindById(session->routes, session->service.id));
        RpAgent_TableUpdated(session->agent, session->now);
    }
}

static void
do_service(struct session *session, const char **words)
{
    struct rp_endpoint address;

    RpEndpoint_Parse(RpStr_FromC(words[3]), &address);
    session->service.id = parse_number(words[1]);
    session->service.incarnation = parse_number(words[2]);
    session->service.address = address.ip;
    session->service.port = address.port;
    session->service.flows_per_upstream = parse_number(words[4]);
    session->service.retries_percent = parse_number(words[5]);
    session->service.silence_ms = 30000;
    session->service.long_slots_percent = words[6][0] ? parse_number(words[6])
                                                      : 100;
}

static void
do_member(struct session *session, const char **words)
{
    GArray *members = session->service.members;
    struct rp_msg_member member = {.agent_ip = member_endpoint(words[1]).ip,
                                   .agent_port = 1,
                                   .slots = parse_number(words[2]),
                                   .state = RP_UPSTREAM_READY};

    RpName_Set(&member.upstream, RpStr_FromC(words[1]));
    RpName_Set(&member.zone, RpStr_FromC(words[4]));
    if (!strcmp(words[3], "draining")) {
        member.state = RP_UPSTREAM_DRAINING;
    }
    if (!strcmp(words[3], "lost")) {
        member.state = RP_UPSTREAM_LOST;
    }
    for (guint i = 0; i < members->len; i++) {
        struct rp_msg_member *old = &g_array_index(members,
                                                   struct rp_msg_member, i);
        if (RpName_Equal(&old->upstream, &member.upstream)) {
            *old = member;
            set_table(session);
            return;
        }
    }
    g_array_append_val(members, member);
    set_table(session);
}

static void
do_evacuated(struct session *session, const char **words)
{
    g_array_set_size(session->evacuated, 0);
    for (size_t i = 1; words[i][0]; i++) {
        struct rp_msg_zone zone = {0};
        RpName_Set(&zone.name, RpStr_FromC(words[i]));
        g_array_append_val(session->evacuated, zone);
    }
    set_table(session);
}

static void
do_sibling(struct session *session, const char **words)
{
    struct rp_msg_member member = {.agent_ip = member_endpoint(words[3]).ip,
                                   .agent_port = 1,
                                   .slots = 2,
                                   .state = RP_UPSTREAM_READY};
    struct rp_msg_target target = {.service_id = session->service.id,
                                   .weight = 1};
    struct rp_endpoint address;

    RpEndpoint_Parse(RpStr_FromC(words[2]), &address);
    RpName_Set(&member.upstream, RpStr_FromC(words[3]));
    session->sibling.id = parse_number(words[1]);
    session->sibling.incarnation = 1;
    session->sibling.members = RpSchema_NewList(&rp_msg_member_schema);
    g_array_append_val(session->sibling.members, member);
    session->vip = (struct rp_msg_vip){
        .address = address.ip,
        .port = address.port,
        .timeout_ms = 500,
        .target_ms = words[4] ? parse_number(words[4]) : 0,
        .targets = RpSchema_NewList(&rp_msg_target_schema)};
    g_array_append_val(session->vip.targets, target);
    target.service_id = session->sibling.id;
    g_array_append_val(session->vip.targets, target);
    set_table(session);
}

/* The address had more services than tables list. */
static void
do_unlisted(struct session *session)
{
    const struct rp_msg_target target = {.service_id = RP_TARGET_UNLISTED};

    g_array_append_val(session->vip.targets, target);
    set_table(session);
}

static void
do_agent(struct session *session, const char **words, bool with_table)
{
    struct rp_agent_config config = {.codec = session->codec,
                                     .self = member_endpoint(words[1]),
                                     .slots = parse_number(words[2]),
                                     .started = session->now,
                                     .ramp_from = parse_ms(words[3]),
                                     .ramp_until = parse_ms(words[4]),
                                     .seed = 1};
    const GArray *members = session->service.members;

    for (guint i = 0; i < members->len; i++) {
        const struct rp_msg_member *member = &g_array_index(
            members, struct rp_msg_member, i);
        if (!strcmp(member->upstream.data, words[1])) {
            config.zone = member->zone;
        }
    }
    RpAgent_Free(session->agent);
    session->agent = RpAgent_Create(&config, &session->chart,
                                    RpAdmission_CreateLeastBusy(),
                                    &session->counters);
    if (with_table) {
        set_table(session);
    }
}

/* Writes the header of a packet in the platform's format (see
 * rp_platform_packet.c) and returns its size. */
static size_t
write_platform(uint8_t *bytes, struct rp_flow_key key, const char **words)
{
    uint8_t flags = parse_flags(words[1]);

    memset(bytes, 0, 31);
    RpBytes_Put32(bytes, key.dst_ip);
    RpBytes_Put16(bytes + 4, key.dst_port);
    RpBytes_Put32(bytes + 6, key.src_ip);
    RpBytes_Put16(bytes + 10, key.src_port);
    RpBytes_Put32(bytes + 16, parse_number(words[3]));
    RpBytes_Put32(bytes + 20, parse_number(words[4]));
    bytes[24] = (flags & RP_TCP_SYN ? 16 : 0) | (flags & RP_TCP_ACK ? 4 : 0) |
                (flags & RP_TCP_FIN ? 2 : 0) | (flags & RP_TCP_RST ? 8 : 0);
    RpBytes_Put16(bytes + 29, (uint16_t)parse_number(words[5]));
    return 31;
}

static void
make_platform_packet(uint8_t *bytes, struct rp_packet *packet,
                     struct rp_flow_key key, const char **words)
{
    size_t len = write_platform(bytes, key, words);
    enum rp_counter reason;

    memset(bytes + len, 'x', parse_number(words[5]));
    if (!rp_codec_platform.ops->parse(bytes, len + parse_number(words[5]),
                                      packet, &reason)) {
        printf("  the packet of this line cannot be parsed\n");
    }
}

static void
make_packet(const struct session *session, uint8_t *bytes,
            struct rp_packet *packet, struct rp_flow_key key,
            const char **words)
{
    if (session->codec == &rp_codec_platform) {
        make_platform_packet(bytes, packet, key, words);
        return;
    }
    size_t payload = parse_number(words[5]);
    size_t len = RpPacket_MakeSegment(key, parse_flags(words[1]),
                                      parse_number(words[3]),
                                      parse_number(words[4]), bytes);
    enum rp_counter reason;

    memset(bytes + len, 'x', payload);
    RpBytes_Put16(bytes + 2, (uint16_t)(len + payload));
    if (!RpPacket_Parse(bytes, len + payload, packet, &reason)) {
        printf("  the packet of this line cannot be parsed\n");
    }
}

static struct rp_flow_key
caller_key(const struct session *session, const char *port)
{
    struct rp_endpoint address = {.ip = session->service.address,
                                  .port = session->service.port};

    if (session->sibling.id) {
        address = (struct rp_endpoint){.ip = session->vip.address,
                                       .port = session->vip.port};
    }
    return (struct rp_flow_key){.src_ip = CALLER_IP,
                                .src_port = (uint16_t)parse_number(port),
                                .dst_ip = address.ip,
                                .dst_port = address.port};
}

static void
do_caller(struct session *session, const char **words)
{
    uint8_t bytes[PACKET_MAX];
    struct rp_packet packet;
    struct rp_geneve geneve = {
        .has_tag = true,
        .has_chain = true,
        .tag = {.service_id = session->service.id,
                .incarnation = session->service.incarnation},
        .chain = {.lowest_utilisation = RP_CHAIN_NO_UTILISATION,
                  .origin = session->origin}};

    make_packet(session, bytes, &packet, caller_key(session, words[2]), words);
    for (const char *c = words[6]; *c; c++) {
        if (*c == '|') {
            geneve.chain.visited = geneve.chain.count;
        }
        else if (*c == '/') {
            geneve.chain.service_count = 2;
            geneve.chain.service[0] = geneve.tag;
            geneve.chain.service[1] = (struct rp_service_tag){
                .service_id = session->sibling.id,
                .incarnation = session->sibling.incarnation};
        }
        else {
            const struct rp_service_tag *last =
                &geneve.chain.service[geneve.chain.service_count > 0];
            RpChain_AppendOf(&geneve.chain, member_endpoint(c),
                             last->service_id);
        }
    }
    if (!strcmp(words[7], "best")) {
        geneve.chain.best = (uint8_t)parse_number(words[8]);
        geneve.chain.lowest_utilisation = (uint8_t)parse_number(words[9]);
        geneve.chain.forced = !strcmp(words[10], "forced");
    }
    if (!strcmp(words[7], "tag")) {
        geneve.tag.service_id = parse_number(words[8]);
        geneve.tag.incarnation = parse_number(words[9]);
    }
    RpAgent_FromCaller(session->agent, session->now, &packet, &geneve,
                       &session->actions);
    print_actions(session);
}

static void
do_search(struct session *session, const char **words)
{
    uint8_t bytes[PACKET_MAX];
    struct rp_packet packet;
    const struct rp_geneve geneve = {
        .has_tag = true,
        .has_search = true,
        .search_id = parse_number(words[1]),
        .searcher = member_endpoint(words[7]),
        .tag = {.service_id = session->service.id,
                .incarnation = session->service.incarnation}};

    make_packet(session, bytes, &packet, caller_key(session, words[3]),
                words + 1);
    RpAgent_OnSearch(session->agent, session->now, &packet, &geneve,
                     &session->actions);
    print_actions(session);
}

static void
do_search_answer(struct session *session, const char **words)
{
    enum rp_search_verdict verdict = !strcmp(words[3], "owns") ? RP_SEARCH_OWNS
                                     : !strcmp(words[3], "unsure")
                                         ? RP_SEARCH_UNSURE
                                         : RP_SEARCH_NOT_OWNED;
    const struct rp_geneve geneve = {.has_answer = true,
                                     .search_id = parse_number(words[1]),
                                     .verdict = verdict};

    RpAgent_OnSearchAnswer(session->agent, session->now,
                           member_endpoint(words[2]), &geneve,
                           &session->actions);
    print_actions(session);
}

static void
do_host(struct session *session, const char **words)
{
    uint8_t bytes[PACKET_MAX];
    struct rp_packet packet;

    make_packet(session, bytes, &packet,
                RpFlowKey_Reverse(caller_key(session, words[2])), words);
    RpAgent_FromHost(session->agent, session->now, &packet, &session->actions);
    print_actions(session);
}

static void
do_host_returns(struct session *session, const char **words)
{
    uint8_t bytes[PACKET_MAX];
    struct rp_packet packet;

    make_packet(session, bytes, &packet, caller_key(session, words[2]), words);
    packet.returned = true;
    RpAgent_FromHost(session->agent, session->now, &packet, &session->actions);
    print_actions(session);
}

static void
do_host_state(struct session *session, const char *word)
{
    static const char *const names[] = {[RP_HOST_READY] = "ready",
                                        [RP_HOST_UNKNOWN] = "unheard",
                                        [RP_HOST_DRAINING] = "draining",
                                        [RP_HOST_GONE] = "gone"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (!strcmp(word, names[i])) {
            RpAgent_SetHostState(session->agent, (enum rp_host_state)i);
        }
    }
}

static void
do_run_timers(struct session *session)
{
    while (RpAgent_OnTimer(session->agent, session->now, &session->actions)) {
        printf("  timer\n");
        print_actions(session);
    }
}

static void
do_show(const struct session *session, const char **words)
{
    struct rp_flow_key flow = {.src_ip = CALLER_IP,
                               .src_port = (uint16_t)parse_number(words[1]),
                               .dst_ip = session->service.address,
                               .dst_port = session->service.port};
    struct rp_agent_load load = RpAgent_Load(session->agent, session->now);

    printf("  state=%s flows=%u busy=%u slots=%u\n",
           RpFlowState_Name(RpAgent_FlowState(session->agent, flow)),
           load.flows, load.busy, load.slots);
}

static void
do_line(struct session *session, char *line)
{
    const char *words[MAX_WORDS];
    size_t count = 0;
    char *rest = NULL;

    /* Optional arguments that are not given are empty strings. */
    for (size_t i = 0; i < MAX_WORDS; i++) {
        words[i] = "";
    }
    for (char *word = strtok_r(line, " \n", &rest);
         word && count < MAX_WORDS - 1; word = strtok_r(NULL, " \n", &rest)) {
        words[count++] = word;
    }
    if (count == 0 || words[0][0] == '#') {
        return;
    }
    if (!strcmp(words[0], "service")) {
        do_service(session, words);
    }
    else if (!strcmp(words[0], "member")) {
        do_member(session, words);
    }
    else if (!strcmp(words[0], "evacuated")) {
        do_evacuated(session, words);
    }
    else if (!strcmp(words[0], "agent")) {
        do_agent(session, words, true);
    }
    else if (!strcmp(words[0], "agent-without-table")) {
        do_agent(session, words, false);
    }
    else if (!strcmp(words[0], "cold-rate")) {
        session->service.cold_per_1000_s = parse_number(words[1]);
        set_table(session);
    }
    else if (!strcmp(words[0], "cold")) {
        RpAgent_SetHostColdUntil(session->agent, parse_ms(words[1]));
    }
    else if (!strcmp(words[0], "at")) {
        session->now = parse_number(words[1]) * RP_US_PER_MS;
    }
    else if (!strcmp(words[0], "format")) {
        session->codec = &rp_codec_platform;
    }
    else if (!strcmp(words[0], "origin")) {
        session->origin = member_endpoint(words[1]);
    }
    else if (!strcmp(words[0], "sibling")) {
        do_sibling(session, words);
    }
    else if (!strcmp(words[0], "host-returns")) {
        do_host_returns(session, words);
    }
    else if (!strcmp(words[0], "host-state")) {
        do_host_state(session, words[1]);
    }
    else if (!strcmp(words[0], "host-heard")) {
        RpAgent_HostHeard(session->agent, session->now);
    }
    else if (!strcmp(words[0], "knows-all-flows")) {
        RpAgent_SetKnowsAllFlows(session->agent, true);
        RpAgent_SetSeenFromStart(session->agent);
    }
    else if (!strcmp(words[0], "host-restarts")) {
        RpAgent_HostRestarted(session->agent, session->now);
    }
    else if (!strcmp(words[0], "host-ends")) {
        RpAgent_HostEnded(session->agent);
    }
    else if (!strcmp(words[0], "caller")) {
        do_caller(session, words);
    }
    else if (!strcmp(words[0], "gathering") || !strcmp(words[0], "complete")) {
        session->gathering = words[0][0] == 'g';
        set_table(session);
    }
    else if (!strcmp(words[0], "unlisted")) {
        do_unlisted(session);
    }
    else if (!strcmp(words[0], "connected")) {
        RpAgent_SetControlConnected(session->agent, true);
    }
    else if (!strcmp(words[0], "disconnected")) {
        RpAgent_SetControlConnected(session->agent, false);
    }
    else if (!strcmp(words[0], "search")) {
        do_search(session, words);
    }
    else if (!strcmp(words[0], "search-answer")) {
        do_search_answer(session, words);
    }
    else if (!strcmp(words[0], "host")) {
        do_host(session, words);
    }
    else if (!strcmp(words[0], "run-timers")) {
        do_run_timers(session);
    }
    else if (!strcmp(words[0], "drain")) {
        RpAgent_SetDraining(session->agent, true);
    }
    else if (!strcmp(words[0], "resume")) {
        RpAgent_SetDraining(session->agent, false);
    }
    else if (!strcmp(words[0], "show")) {
        do_show(session, words);
    }
    else {
        printf("  unknown command: %s\n", words[0]);
    }
}

int
main(int argc, char **argv)
{
    struct session session = {.routes = RpTable_Create(),
                              .codec = &rp_codec_ipv4};
    FILE *in = argc == 2 ? fopen(argv[1], "r") : NULL;
    char line[512];

    if (!in || RpFlowChart_Load(&session.chart, NULL) != RP_OK) {
        fprintf(stderr, "usage: agent-session FILE\n");
        return 2;
    }
    session.service.members = RpSchema_NewList(&rp_msg_member_schema);
    session.evacuated = RpSchema_NewList(&rp_msg_zone_schema);
    while (fgets(line, sizeof line, in)) {
        fputs(line, stdout);
        do_line(&session, line);
    }
    fclose(in);
    RpAgent_Free(session.agent);
    RpTable_Free(session.routes);
    g_array_free(session.service.members, TRUE);
    g_array_free(session.evacuated, TRUE);
    return 0;
}
