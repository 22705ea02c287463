/* Measures the cost of the main operations on this machine: time per packet,
 * memory per flow, tables of the target size, control messages. Prints one
 * line per measurement; where the growth matters, one line for each size. */
#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rp_agent.h"
#include "rp_balancer.h"
#include "rp_catalog.h"
#include "rp_distribution.h"
#include "rp_flow_chart.h"
#include "rp_flow_table.h"
#include "rp_registry.h"
#include "rp_session.h"
#include "rp_udp.h"

#define FLOWS_PER_BALANCER 32000u /* at the size of the target */
#define PACKETS 2000000
#define RELAY_ROUNDS 6000
#define PAYLOAD 512

/* Returns the processor time of this process in nanoseconds. */
static int64_t
now_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

/* Returns the number of bytes allocated on the heap. */
static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
set_numbered_name(struct rp_name *name, const char *kind, unsigned number)
{
    gchar *text = g_strdup_printf("%s-%u", kind, number);

    RpName_Set(name, RpStr_FromC(text));
    g_free(text);
}

/* Builds a complete table message with `hosts` hosts spread evenly over
 * `services` services. The target size is 18,000 hosts in 4,600 services. */
static void
build_table(struct rp_msg *msg, unsigned services, unsigned hosts)
{
    unsigned host = 0;

    *msg = (struct rp_msg){.type = RP_MSG_TABLE};
    msg->table.revision = 1;
    msg->table.complete = 1;
    msg->table.services = RpSchema_NewList(&rp_msg_service_schema);
    msg->table.removed = RpSchema_NewList(&rp_msg_removed_schema);
    for (unsigned i = 0; i < services; i++) {
        struct rp_msg_service service = {
            .id = i + 1,
            .incarnation = 1,
            .address = 0x0a500000 + i,
            .port = 7000,
            .generation = 1,
            .flows_per_upstream = 100000,
            .silence_ms = 30000,
            .long_slots_percent = 100,
            .members = RpSchema_NewList(&rp_msg_member_schema)};
        unsigned until = (unsigned)((uint64_t)hosts * (i + 1) / services);
        set_numbered_name(&service.name, "service", i);
        for (; host < until; host++) {
            struct rp_msg_member member = {.agent_ip = 0x0b000000 + host,
                                           .agent_port = 6081,
                                           .slots = 7,
                                           .state = RP_UPSTREAM_READY};
            set_numbered_name(&member.upstream, "upstream", host);
            g_array_append_val(service.members, member);
        }
        g_array_append_val(msg->table.services, service);
    }
}

static size_t
make_packet(uint8_t *out, unsigned service, unsigned flow, uint8_t flags)
{
    struct rp_flow_key key = {.src_ip = 0x0a090000 + flow / 30000,
                              .src_port = (uint16_t)(1024 + flow % 30000),
                              .dst_ip = 0x0a500000 + service,
                              .dst_port = 7000};
    size_t len = RpPacket_MakeSegment(key, flags, 1000, 2000, out);

    memset(out + len, 'x', PAYLOAD);
    out[2] = (uint8_t)((len + PAYLOAD) >> 8);
    out[3] = (uint8_t)(len + PAYLOAD);
    return len + PAYLOAD;
}

/* Time to apply a complete table, its memory and its size on the wire, by the
 * number of services. */
static void
measure_tables(void)
{
    static const unsigned sizes[] = {575, 1150, 2300, 4600};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        unsigned hosts = sizes[i] * 18000 / 4600;
        struct rp_msg msg;
        GString *wire = g_string_new(NULL);
        build_table(&msg, sizes[i], hosts);
        RpMsg_Encode(&msg, wire);
        size_t before = heap_bytes();
        int64_t start = now_ns();
        struct rp_table *table = RpTable_Create();
        RpTable_Apply(table, &msg.table);
        int64_t took = now_ns() - start;
        printf("cost table services=%u hosts=%u build_ms=%.2f "
               "memory_kb=%zu wire_kb=%zu\n",
               sizes[i], hosts, (double)took / 1e6,
               (heap_bytes() - before) / 1024, wire->len / 1024);
        RpTable_Free(table);
        RpMsg_Clear(&msg);
        g_string_free(wire, TRUE);
    }
}

/* The balancer's routing decision without sockets, by the number of members of
 * the service. */
static void
measure_route(void)
{
    static const unsigned members[] = {4, 7, 14, 28, 56};

    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        struct rp_msg msg;
        struct rp_table *table = RpTable_Create();
        uint8_t bytes[1024];
        uint8_t header[RP_GENEVE_HEADROOM];
        struct rp_packet packet;
        struct rp_route route;
        enum rp_counter reason;
        size_t sum = 0;
        build_table(&msg, 10, 10 * members[i]);
        RpTable_Apply(table, &msg.table);
        size_t len = make_packet(bytes, 3, 0, RP_TCP_ACK);
        int64_t start = now_ns();
        for (unsigned j = 0; j < PACKETS; j++) {
            bytes[20] = (uint8_t)j;
            RpPacket_Parse(bytes, len, &packet, &reason);
            RpBalancer_Route(table, &packet, &route);
            sum += RpGeneve_Write(header, RP_GENEVE_IPV4, &route.tag,
                                  &route.chain);
        }
        double each = (double)(now_ns() - start) / PACKETS;
        printf("cost route members=%u ns_per_packet=%.1f check=%zu\n",
               members[i], each, sum / PACKETS);
        RpMsg_Clear(&msg);
        RpTable_Free(table);
    }
}

/* As measure_route, for FLOWS_PER_BALANCER flows in turn, with hints for a
 * part of them. */
static void
measure_hints(void)
{
    static const unsigned hinted[] = {0, 8000, 32000};
    struct rp_msg msg;
    struct rp_table *table = RpTable_Create();

    build_table(&msg, 10, 70);
    RpTable_Apply(table, &msg.table);
    const struct rp_service *service = RpTable_FindByAddress(
        table, (struct rp_endpoint){.ip = 0x0a500003, .port = 7000});
    for (size_t i = 0; i < G_N_ELEMENTS(hinted); i++) {
        struct rp_owner_hints *hints = RpOwnerHints_Create();
        uint8_t bytes[1024];
        struct rp_packet packet;
        struct rp_route route;
        enum rp_counter reason;
        unsigned followed = 0;
        for (unsigned j = 0; j < hinted[i]; j++) {
            size_t len = make_packet(bytes, 3, j, RP_TCP_ACK);
            RpPacket_Parse(bytes, len, &packet, &reason);
            const struct rp_owner_hint hint = {
                .flow = packet.key,
                .service_id = service->tag.service_id,
                .seq = packet.seq};
            RpOwnerHints_Put(hints, 0, RpTable_HashFlow(table, packet.key),
                             &hint, service->members[j % 7].agent);
        }
        int64_t start = now_ns();
        for (unsigned j = 0; j < PACKETS; j++) {
            size_t len = make_packet(bytes, 3, j % FLOWS_PER_BALANCER,
                                     RP_TCP_ACK);
            RpPacket_Parse(bytes, len, &packet, &reason);
            RpBalancer_Route(table, &packet, &route);
            RpBalancer_PreferOwner(table, hints, 0, &packet, &route);
            followed += route.reason == RP_COUNT_HINT_FOLLOWED;
        }
        double each = (double)(now_ns() - start) / PACKETS;
        printf("cost hints flows=%u hinted=%u ns_per_packet=%.1f "
               "followed=%.2f\n",
               FLOWS_PER_BALANCER, hinted[i], each,
               (double)followed / PACKETS);
        RpOwnerHints_Free(hints);
    }
    RpMsg_Clear(&msg);
    RpTable_Free(table);
}

static struct rp_agent *
create_agent(struct rp_chart *chart, struct rp_counters *counters,
             struct rp_table *table)
{
    const struct rp_agent_config config = {
        .self = {.ip = 0x0b000000, .port = 6081}, .slots = 7, .seed = 5};
    struct rp_endpoint address = {.ip = 0x0a500000, .port = 7000};
    struct rp_agent *agent = RpAgent_Create(
        &config, chart, RpAdmission_CreateLeastBusy(), counters);

    RpAgent_SetTable(agent, table, RpTable_FindByAddress(table, address));
    return agent;
}

/* An agent's decision on packets of open flows, and the flow table's size, by
 * the number of flows. */
static void
measure_agent(void)
{
    static const unsigned sizes[] = {1000, 10000, 100000, 500000, 1000000};
    struct rp_chart chart;
    struct rp_counters counters = {0};
    struct rp_msg msg;
    struct rp_table *table = RpTable_Create();

    RpFlowChart_Load(&chart, NULL);
    build_table(&msg, 1, 4);
    g_array_index(msg.table.services, struct rp_msg_service, 0)
        .flows_per_upstream = 2000000;
    RpTable_Apply(table, &msg.table);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rp_agent *agent = create_agent(&chart, &counters, table);
        struct rp_actions actions = {0};
        uint8_t bytes[1024];
        struct rp_packet packet;
        enum rp_counter reason;
        struct rp_geneve geneve = {.has_tag = true,
                                   .has_chain = true,
                                   .tag = {1, 1, 1},
                                   .chain = {.count = 1, .visited = 1}};
        /* The host sends the first packet of each flow, which adds the flow to
         * the agent's table. */
        for (unsigned j = 0; j < sizes[i]; j++) {
            make_packet(bytes, 0, j, RP_TCP_ACK);
            RpPacket_Parse(bytes, 40 + PAYLOAD, &packet, &reason);
            packet.key = RpFlowKey_Reverse(packet.key);
            RpAgent_FromHost(agent, 1, &packet, &actions);
        }
        int64_t start = now_ns();
        for (unsigned j = 0; j < PACKETS; j++) {
            unsigned flow = (unsigned)(j * 2654435761u) % sizes[i];
            make_packet(bytes, 0, flow, RP_TCP_ACK);
            RpPacket_Parse(bytes, 40 + PAYLOAD, &packet, &reason);
            RpAgent_FromCaller(agent, 1, &packet, &geneve, &actions);
        }
        int64_t middle = now_ns();
        for (unsigned j = 0; j < PACKETS; j++) {
            unsigned flow = (unsigned)(j * 2654435761u) % sizes[i];
            make_packet(bytes, 0, flow, RP_TCP_ACK);
            RpPacket_Parse(bytes, 40 + PAYLOAD, &packet, &reason);
        }
        int64_t end = now_ns();
        double each = (double)((middle - start) - (end - middle)) / PACKETS;
        printf("cost agent flows=%u ns_per_packet=%.1f bytes_per_flow=%.1f\n",
               sizes[i], each, (double)RpAgent_TableBytes(agent) / sizes[i]);
        RpAgent_Free(agent);
    }
    RpMsg_Clear(&msg);
    RpTable_Free(table);
}

/* Forwards each datagram to the sink. */
struct relay {
    struct rp_udp *udp;
    struct rp_endpoint sink;
    const struct rp_table *table; /* NULL: forwards datagrams unchanged */
    struct rp_counters counters;
};

static void
on_relay(void *user, uint8_t *data, size_t len, struct rp_endpoint from)
{
    struct relay *relay = user;
    struct rp_geneve geneve;
    struct rp_packet packet;
    struct rp_route route;
    enum rp_counter reason;
    uint8_t header[RP_GENEVE_HEADROOM];

    (void)from;
    if (!relay->table) {
        RpUdp_Send(relay->udp, relay->sink, data, 0, data, len);
        return;
    }
    if (!RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason) ||
        !RpPacket_Parse(geneve.inner, geneve.inner_len, &packet, &reason)) {
        return;
    }
    RpBalancer_Route(relay->table, &packet, &route);
    route.chain.visited = 1;
    size_t header_len = RpGeneve_Write(header, RP_GENEVE_IPV4, &route.tag,
                                       &route.chain);
    RpUdp_Send(relay->udp, relay->sink, header, header_len, packet.data,
               packet.len);
}

static int
open_plain_socket(struct rp_endpoint *address)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof name;
    int size = 4 << 20;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    if (bind(fd, (struct sockaddr *)&name, sizeof name) ||
        getsockname(fd, (struct sockaddr *)&name, &len)) {
        perror("socket");
    }
    *address = (struct rp_endpoint){.ip = INADDR_LOOPBACK,
                                    .port = ntohs(name.sin_port)};
    return fd;
}

/* Returns a relay's processor time per datagram in nanoseconds, including its
 * socket calls. Without a table the relay only forwards: the lower bound. */
static double
run_relay(const struct rp_table *table)
{
    struct relay relay = {.table = table};
    struct rp_endpoint in;
    struct rp_endpoint ignored;
    uint8_t datagram[1024];
    uint8_t discarded[2048];
    int64_t spent = 0;
    uint64_t carried = 0;

    int sink = open_plain_socket(&relay.sink);
    int probe = open_plain_socket(&in);
    close(probe);
    int source = open_plain_socket(&ignored);
    relay.udp = RpUdp_Open(in, on_relay, &relay, &relay.counters, NULL);
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(in.port),
                             .sin_addr.s_addr = htonl(in.ip)};
    size_t header_len = RpGeneve_Write(datagram, RP_GENEVE_IPV4, NULL, NULL);
    for (unsigned round = 0; round < RELAY_ROUNDS; round++) {
        for (unsigned i = 0; i < RP_UDP_BATCH; i++) {
            size_t len = header_len +
                         make_packet(datagram + header_len, 3, i, RP_TCP_ACK);
            sendto(source, datagram, len, 0, (struct sockaddr *)&to,
                   sizeof to);
        }
        int64_t start = now_ns();
        g_main_context_iteration(NULL, FALSE);
        spent += now_ns() - start;
        while (recv(sink, discarded, sizeof discarded, 0) > 0) {
            carried++;
        }
    }
    RpUdp_Close(relay.udp);
    close(sink);
    close(source);
    return (double)spent / (double)MAX(carried, 1);
}

static void
measure_relay(void)
{
    struct rp_msg msg;
    struct rp_table *table = RpTable_Create();

    build_table(&msg, 4600, 18000);
    RpTable_Apply(table, &msg.table);
    for (int i = 0; i < 3; i++) {
        double bare = run_relay(NULL);
        double balancer = run_relay(table);
        printf("cost relay bare_ns=%.0f balancer_ns=%.0f "
               "packets_per_second=%.0f ratio=%.2f\n",
               bare, balancer, 1e9 / balancer, bare / balancer);
    }
    RpMsg_Clear(&msg);
    RpTable_Free(table);
}

static void
fill_announce(struct rp_msg_announce *news, unsigned number, uint64_t sequence)
{
    *news = (struct rp_msg_announce){.agent_ip = 0x0b000000 + number,
                                     .agent_port = 6081,
                                     .slots = 7,
                                     .state = RP_UPSTREAM_READY,
                                     .incarnation = 1,
                                     .sequence = sequence,
                                     .lease_ms = 2000};
    set_numbered_name(&news->upstream, "upstream", number);
    set_numbered_name(&news->service, "service", number * 4600 / 18000);
    set_numbered_name(&news->zone, "zone", number % 21);
}

/* Time of a lease renewal, memory and message size, by the number of
 * upstreams. */
static void
measure_registry(void)
{
    static const unsigned sizes[] = {2250, 4500, 9000, 18000};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rp_msg msg = {.type = RP_MSG_ANNOUNCE};
        GString *wire = g_string_new(NULL);
        size_t before = heap_bytes();
        struct rp_registry *registry = RpRegistry_Create();
        for (unsigned j = 0; j < sizes[i]; j++) {
            fill_announce(&msg.announce, j, 1);
            RpRegistry_Merge(registry, 0, &msg.announce, NULL);
        }
        size_t bytes = heap_bytes() - before;
        int64_t start = now_ns();
        for (unsigned j = 0; j < sizes[i]; j++) {
            msg.announce.sequence++;
            set_numbered_name(&msg.announce.upstream, "upstream", j);
            RpRegistry_Merge(registry, 0, &msg.announce, NULL);
        }
        double each = (double)(now_ns() - start) / sizes[i];
        RpMsg_Encode(&msg, wire);
        printf("cost registry upstreams=%u ns_per_renewal=%.0f "
               "memory_kb=%zu bytes_on_wire=%zu\n",
               sizes[i], each, bytes / 1024, wire->len + 20);
        RpRegistry_Free(registry);
        g_string_free(wire, TRUE);
    }
}

static uint64_t sent_bytes;
static uint64_t sent_messages;

static void
count_sent(void *user, uint64_t connection, const struct rp_msg *msg)
{
    GString *wire = g_string_new(NULL);

    (void)user;
    (void)connection;
    RpMsg_Encode(msg, wire);
    sent_bytes += wire->len + 20;
    sent_messages++;
    g_string_free(wire, TRUE);
}

static void
apply_document(struct rp_catalog *catalog, unsigned number, uint8_t id_byte)
{
    struct rp_msg_change change = {.kind = RP_CHANGE_APPLY};
    gchar *text = g_strdup_printf(
        "[service]\nname = service-%u\naddress = 10.80.%u.%u:7000\n", number,
        number / 250, number % 250 + 1);

    memcpy(change.id, &number, sizeof number);
    change.id[8] = id_byte;
    change.document = g_string_new(text);
    GString *command = RpCatalog_EncodeChange(&change);
    RpCatalog_Apply(catalog,
                    (struct rp_str){.data = command->str, .len = command->len},
                    NULL);
    g_string_free(command, TRUE);
    g_string_free(change.document, TRUE);
    g_free(text);
}

/* One control instance: processor time and bytes sent for a configuration
 * change, for a node that joins, and for the loss of a data centre. */
static void
measure_distribution(void)
{
    static const unsigned sizes[] = {115, 460, 1150, 4600};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        unsigned hosts = sizes[i] * 18000 / 4600;
        struct rp_catalog *catalog = RpCatalog_Create();
        struct rp_registry *registry = RpRegistry_Create();
        struct rp_distribution *distribution = RpDistribution_Create(
            catalog, registry, count_sent, NULL);
        const struct rp_msg_subscribe all = {.revision = 0};
        struct rp_msg_hello hello = {.role = RP_ROLE_BALANCER};
        struct rp_name service;
        int64_t now = RP_US_PER_SECOND;
        int64_t start = now_ns();
        for (unsigned j = 0; j < sizes[i]; j++) {
            apply_document(catalog, j, 1);
        }
        double apply_us = (double)(now_ns() - start) / sizes[i] / 1000;
        for (unsigned j = 0; j < hosts; j++) {
            struct rp_msg_announce news;
            fill_announce(&news, j, 1);
            set_numbered_name(&news.service, "service",
                              (unsigned)((uint64_t)j * sizes[i] / hosts));
            RpRegistry_Merge(registry, now, &news, NULL);
        }
        RpDistribution_SetFresh(distribution, now, true);
        set_numbered_name(&hello.name, "balancer", 1);
        RpDistribution_Subscribe(distribution, now, 1, &hello, &all);
        sent_bytes = 0;
        start = now_ns();
        RpDistribution_Flush(distribution, now);
        double join_ms = (double)(now_ns() - start) / 1e6;
        uint64_t join_bytes = sent_bytes;

        /* A change of one service. */
        sent_bytes = 0;
        now += RP_US_PER_SECOND;
        apply_document(catalog, 1, 2);
        set_numbered_name(&service, "service", 1);
        RpDistribution_MarkServiceChanged(distribution, now, &service);
        now += RP_TABLE_BATCH_US;
        start = now_ns();
        RpDistribution_Flush(distribution, now);
        double change_us = (double)(now_ns() - start) / 1000;
        uint64_t change_bytes = sent_bytes;

        /* The loss of one of 21 data centres changes each service there. */
        sent_bytes = 0;
        for (unsigned j = 0; j < sizes[i]; j += 21) {
            set_numbered_name(&service, "service", j);
            RpDistribution_MarkServiceChanged(distribution, now, &service);
        }
        now += RP_TABLE_BATCH_US;
        RpDistribution_Flush(distribution, now);
        GString *snapshot = RpCatalog_Snapshot(catalog);
        printf("cost distribution services=%u hosts=%u apply_us=%.1f "
               "join_ms=%.1f join_kb=%" G_GUINT64_FORMAT
               " change_us=%.0f change_bytes=%" G_GUINT64_FORMAT
               " centre_lost_kb=%" G_GUINT64_FORMAT " snapshot_kb=%zu\n",
               sizes[i], hosts, apply_us, join_ms, join_bytes / 1024,
               change_us, change_bytes, sent_bytes / 1024,
               snapshot->len / 1024);
        fflush(stdout);
        g_string_free(snapshot, TRUE);
        RpDistribution_Free(distribution);
        RpRegistry_Free(registry);
        RpCatalog_Free(catalog);
    }
}

/* Builds an edition of `count` virtual addresses, four for each service. The
 * first address has the given timeout. */
static void
build_edition(struct rp_edition *edition, unsigned count, uint64_t version,
              uint32_t timeout_ms)
{
    RpEdition_Init(edition);
    edition->version = version;
    for (unsigned i = 0; i < count; i++) {
        struct rp_edition_service service = {.flows_per_upstream = 2000};
        struct rp_edition_target target = {.weight = 1};
        struct rp_edition_vip vip = {
            .name = g_string_new("r-a3hwrr6"),
            .address = 0xc6120000 + i,
            .port = 443,
            .kind = RP_REQUEST_IDEMPOTENT,
            .priority = 2,
            .timeout_ms = i == 0 ? timeout_ms : 1500,
            .target_ms = 250,
            .targets = RpSchema_NewList(&rp_edition_target_schema)};
        set_numbered_name(&target.service, "service", i / 4);
        g_array_append_val(vip.targets, target);
        g_array_append_val(edition->vips, vip);
        if (i % 4 == 0) {
            service.name = target.service;
            g_array_append_val(edition->services, service);
        }
        /* The users' configurations have about this much text per route. */
        g_string_append_printf(edition->content, "%0240u", i);
    }
}

/* Builds and applies an edition. Returns its size in the log in bytes. */
static size_t
apply_edition(struct rp_catalog *catalog, unsigned count, uint64_t version,
              uint32_t timeout_ms)
{
    struct rp_edition edition;

    build_edition(&edition, count, version, timeout_ms);
    GString *command = RpCatalog_EncodeEdition(&edition);
    size_t len = command->len;
    RpCatalog_Apply(catalog,
                    (struct rp_str){.data = command->str, .len = command->len},
                    NULL);
    g_string_free(command, TRUE);
    RpEdition_Clear(&edition);
    return len;
}

/* One control instance and one balancer: processor time and bytes sent for an
 * edition that differs in one virtual address, and for a balancer that
 * joins. */
static void
measure_editions(void)
{
    static const unsigned sizes[] = {115, 460, 1150, 4600};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rp_catalog *catalog = RpCatalog_Create();
        struct rp_registry *registry = RpRegistry_Create();
        struct rp_distribution *distribution = RpDistribution_Create(
            catalog, registry, count_sent, NULL);
        const struct rp_msg_subscribe all = {.revision = 0};
        struct rp_msg_hello hello = {.role = RP_ROLE_BALANCER};
        int64_t now = RP_US_PER_SECOND;
        apply_edition(catalog, sizes[i], 1, 1500);
        RpDistribution_SetFresh(distribution, now, true);
        set_numbered_name(&hello.name, "balancer", 1);
        RpDistribution_Subscribe(distribution, now, 1, &hello, &all);
        sent_bytes = 0;
        int64_t start = now_ns();
        RpDistribution_Flush(distribution, now);
        double join_ms = (double)(now_ns() - start) / 1e6;
        uint64_t join_bytes = sent_bytes;

        sent_bytes = 0;
        start = now_ns();
        size_t entry = apply_edition(catalog, sizes[i], 2, 1600);
        double apply_ms = (double)(now_ns() - start) / 1e6;
        now += RP_US_PER_SECOND;
        start = now_ns();
        RpDistribution_MarkEditionChanged(distribution, now);
        RpDistribution_Flush(distribution, now + RP_TABLE_BATCH_US);
        printf("cost edition addresses=%u apply_ms=%.2f entry_kb=%zu "
               "join_ms=%.2f join_kb=%" G_GUINT64_FORMAT
               " spread_ms=%.2f change_bytes=%" G_GUINT64_FORMAT "\n",
               sizes[i], apply_ms, entry / 1024, join_ms, join_bytes / 1024,
               (double)(now_ns() - start) / 1e6, sent_bytes);
        fflush(stdout);
        RpDistribution_Free(distribution);
        RpRegistry_Free(registry);
        RpCatalog_Free(catalog);
    }
}

/* Sends frames through both ends of a session, by body size. */
static void
measure_session(void)
{
    static const unsigned sizes[] = {50, 500, 5000, 50000};
    static const struct rp_keyring keys = {.key = {RP_STR("0123456789abcdef")},
                                           .count = 1};
    static const uint8_t nonce[RP_NONCE_SIZE] = "nonce";
    const struct rp_msg hello = {.type = RP_MSG_HELLO,
                                 .hello = {.version = 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rp_session *a = RpSession_Create(&keys, true, nonce);
        struct rp_session *b = RpSession_Create(&keys, false, nonce);
        struct rp_msg msg = {.type = RP_MSG_DOCUMENT};
        struct rp_msg got;
        enum rp_counter reason;
        GString *wire = g_string_new(NULL);
        const unsigned frames = 20000;
        msg.document.document = g_string_new(NULL);
        g_string_set_size(msg.document.document, sizes[i]);
        RpSession_Send(a, &hello, wire);
        RpSession_Receive(b, (struct rp_str){wire->str, wire->len});
        RpSession_Next(b, &got, &reason);
        int64_t start = now_ns();
        for (unsigned j = 0; j < frames; j++) {
            g_string_truncate(wire, 0);
            RpSession_Send(a, &msg, wire);
            RpSession_Receive(b, (struct rp_str){wire->str, wire->len});
            if (RpSession_Next(b, &got, &reason) == RP_SESSION_MESSAGE) {
                RpMsg_Clear(&got);
            }
        }
        printf("cost session body=%u us_per_frame=%.2f\n", sizes[i],
               (double)(now_ns() - start) / frames / 1000);
        RpSession_Free(a);
        RpSession_Free(b);
        g_string_free(msg.document.document, TRUE);
        g_string_free(wire, TRUE);
    }
}

int
main(void)
{
    if (sodium_init() < 0) {
        return 1;
    }
    measure_relay();
    measure_route();
    measure_hints();
    measure_agent();
    measure_tables();
    measure_registry();
    measure_distribution();
    measure_editions();
    measure_session();
    return 0;
}
