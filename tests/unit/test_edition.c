/* Tests of editions: decoding and checking of bodies, which edition is in
 * force, and what nodes are sent when it changes. */
#include <glib.h>
#include <string.h>

#include "check.h"
#include "rp_balancer.h"
#include "rp_catalog.h"
#include "rp_distribution.h"
#include "rp_platform.h"
#include "rp_table.h"

#define SERVICES                                                              \
    "\"services\":[{\"name\":\"lens\",\"max-conns\":2000},"                   \
    "{\"name\":\"shelf\",\"max-conns\":10}]"
#define ROUTE(host, port, timeout, service)                                   \
    "{\"name\":\"r\",\"host\":\"" host "\",\"path-prefix\":\"/" port          \
    "/\",\"route-type\":\"idempotent\",\"timeout-ms\":" timeout               \
    ",\"target-latency-ms\":250,\"priority\":2,\"service\":\"" service "\"}"
#define SPLIT(host, port, first, second)                                      \
    "{\"name\":\"w\",\"host\":\"" host "\",\"path-prefix\":\"/" port          \
    "/\",\"route-type\":\"download\",\"timeout-ms\":9,\"backends\":["         \
    "{\"service\":\"lens\",\"weight\":" first                                 \
    "},{\"service\":\"shelf\",\"weight\":" second "}]}"
#define EDITION(version, routes)                                              \
    "{\"version\":" version ",\"routes\":[" routes "]," SERVICES "}"

static const char one_route[] = EDITION(
    "7", ROUTE("10.1.0.1", "443", "1500", "lens"));
static const char two_routes[] = EDITION(
    "9", ROUTE("10.1.0.1", "443", "1500", "lens") "," SPLIT("10.1.0.2", "80",
                                                            "90", "10"));

static enum rp_code
decode(const char *body, struct rp_edition *edition, struct rp_error *error)
{
    enum rp_code code = RpPlatform_DecodeEdition(
        RpStr_FromC(body), RP_PLATFORM_EDITION_MAX, edition, error);
    enum rp_code checked = RpEdition_Check(edition, error);

    return code == RP_OK ? checked : code;
}

/* Bodies, and the findings that each must produce, in order. */
static void
test_decode_and_check(void **state)
{
    static const struct {
        const char *body;
        const char *expected;
    } cases[] = {
        {one_route, ""},
        {two_routes, ""},
        {EDITION("1", ""), ""},
        {EDITION("1", ROUTE("10.1.0.1", "443", "0", "lens")),
         "routes[0]: timeout must be at least 1 ms\n"},
        {EDITION("1", ROUTE("10.1.0.1", "443", "5", "desk")),
         "routes[0]: target is not a service of this edition: desk\n"},
        {EDITION("1", ROUTE("10.1.0.1", "443", "5", "lens") "," ROUTE(
                          "10.1.0.1", "443", "6", "shelf")),
         "routes[1]: address is already used by another virtual address: "
         "10.1.0.1:443\n"},
        {EDITION("1", SPLIT("10.1.0.1", "443", "0", "0")),
         "routes[0]: sum of target weights is 0, must be from 1 to "
         "4294967295\n"},
        {EDITION("1", SPLIT("10.1.0.1", "443", "-1", "2")),
         "routes[0]: weight is missing, not an integer or out of range\n"},
        {EDITION("0", ""), "configuration: version must be at least 1\n"},
        {EDITION("\"7\"", ROUTE("10.1.0", "x", "5", "lens")),
         "configuration: version is missing, not an integer or out of range\n"
         "configuration: version must be at least 1\n"
         "routes[0]: host is not an IPv4 address\n"
         "routes[0]: path-prefix is not a port between slashes\n"
         "routes[0]: port must be from 1 to 65535\n"},
        {"{\"version\":3}",
         "configuration: services is missing or not a list\n"
         "configuration: routes is missing or not a list\n"},
        {"{\"version\":3,\"services\":[7],\"routes\":[null]}",
         "services[0]: entry is not an object\n"
         "routes[0]: entry is not an object\n"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_edition edition;
        struct rp_error error;
        GString *text = g_string_new(NULL);
        RpError_Init(&error);
        enum rp_code code = decode(cases[i].body, &edition, &error);
        RpError_Format(&error, text);
        assert_string_equal(text->str, cases[i].expected);
        assert_int_equal(code == RP_OK, text->len == 0);
        RpError_Clear(&error);
        RpEdition_Clear(&edition);
        g_string_free(text, TRUE);
    }
}

#define COLD(values)                                                          \
    "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"lens\"" values    \
    "}]}"

/* The limits of cold hosts. Values that cannot be used are left out and
 * counted; they do not make the edition invalid. */
static void
test_limits_of_cold_hosts(void **state)
{
    static const struct {
        const char *body;
        uint32_t warmup_ms;
        uint32_t per_1000_s;
        uint32_t ignored;
    } cases[] = {
        {COLD(""), 0, 0, 0},
        {COLD(",\"warmup-s\":2.0,\"cold-per-s\":0.0"), 2000, 0, 0},
        {COLD(",\"warmup-s\":2,\"cold-per-s\":20"), 2000, 20000, 0},
        {COLD(",\"warmup-s\":0.25,\"cold-per-s\":0.5"), 250, 500, 0},
        {COLD(",\"cold-per-s\":2.3"), 0, 2300, 0},
        {COLD(",\"cold-per-s\":33.3339"), 0, 33333, 0},
        {COLD(",\"cold-per-s\":1e-9"), 0, 1, 0},
        {COLD(",\"cold-per-s\":-0.0"), 0, 0, 0},
        {COLD(",\"cold-per-s\":1e300"), 0, 10000000, 0},
        {COLD(",\"warmup-s\":9223372036854775807"), 86400000, 0, 0},
        {COLD(",\"warmup-s\":null,\"cold-per-s\":null"), 0, 0, 0},
        {COLD(",\"warmup-s\":-2.0,\"cold-per-s\":-1"), 0, 0, 2},
        {COLD(",\"warmup-s\":\"2.0\",\"cold-per-s\":20"), 0, 20000, 1},
        {COLD(",\"warmup-s\":2,\"cold-per-s\":[20]"), 2000, 0, 1},
        {COLD(",\"warmup-s\":true,\"cold-per-s\":{}"), 0, 0, 2},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_edition edition;
        assert_int_equal(decode(cases[i].body, &edition, NULL), RP_OK);
        const struct rp_edition_service *service = &g_array_index(
            edition.services, struct rp_edition_service, 0);
        assert_int_equal(service->warmup_ms, cases[i].warmup_ms);
        assert_int_equal(service->cold_per_1000_s, cases[i].per_1000_s);
        assert_int_equal(edition.ignored_values, cases[i].ignored);
        RpEdition_Clear(&edition);
    }
}

/* A body that is truncated at any length must be refused. */
static void
test_truncated_bodies(void **state)
{
    size_t body_len = strlen(two_routes);

    (void)state;
    for (size_t len = 0; len < body_len; len++) {
        struct rp_edition edition;
        struct rp_str part = {.data = two_routes, .len = len};
        assert_int_not_equal(RpPlatform_DecodeEdition(part,
                                                      RP_PLATFORM_EDITION_MAX,
                                                      &edition, NULL),
                             RP_OK);
        RpEdition_Clear(&edition);
    }
}

static struct rp_msg_change_reply
apply(struct rp_catalog *catalog, const char *body)
{
    struct rp_msg_change_reply reply = {0};
    struct rp_edition edition;

    RpPlatform_DecodeEdition(RpStr_FromC(body), RP_PLATFORM_EDITION_MAX,
                             &edition, NULL);
    GString *command = RpCatalog_EncodeEdition(&edition);
    RpCatalog_Apply(catalog,
                    (struct rp_str){.data = command->str, .len = command->len},
                    &reply);
    g_string_free(command, TRUE);
    RpEdition_Clear(&edition);
    return reply;
}

static void
apply_and_check(struct rp_catalog *catalog, const char *body,
                enum rp_code code, bool repeated, uint64_t version)
{
    struct rp_msg_change_reply reply = apply(catalog, body);
    const struct rp_edition *edition = RpCatalog_Edition(catalog);

    assert_int_equal(reply.code, code);
    assert_int_equal(reply.repeated, repeated);
    assert_int_equal(edition ? edition->version : 0, version);
    RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
}

static uint32_t
id_of(const struct rp_catalog *catalog, const char *text)
{
    struct rp_name name;

    RpName_Set(&name, RpStr_FromC(text));
    const struct rp_catalog_entry *entry = RpCatalog_Find(catalog, &name);
    return entry ? entry->id : 0;
}

/* The edition with the highest version is in force. Equal and lower versions
 * are accepted but change nothing. Invalid editions are refused and change
 * nothing. Services keep their ids. */
static void
test_versions(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();

    (void)state;
    assert_null(RpCatalog_Edition(catalog));
    apply_and_check(catalog, one_route, RP_OK, false, 7);
    uint32_t lens = id_of(catalog, "lens");
    apply_and_check(catalog, one_route, RP_OK, true, 7);
    apply_and_check(catalog, EDITION("7", ""), RP_OK, true, 7);
    assert_string_equal(RpCatalog_Edition(catalog)->content->str, one_route);
    apply_and_check(catalog, two_routes, RP_OK, false, 9);
    apply_and_check(catalog, one_route, RP_OK, true, 9);
    apply_and_check(catalog,
                    EDITION("12", ROUTE("10.1.0.1", "1", "0", "lens")),
                    RP_ERR_DOCUMENT, false, 9);
    assert_string_equal(RpCatalog_Edition(catalog)->content->str, two_routes);
    assert_int_equal(id_of(catalog, "lens"), lens);
    uint64_t before = RpCatalog_Revision(catalog);
    apply_and_check(
        catalog,
        "{\"version\":13,\"routes\":[],\"services\":[{\"name\":\"new\"}]}",
        RP_OK, false, 13);
    assert_int_equal(id_of(catalog, "lens"), 0);
    assert_int_equal(id_of(catalog, "shelf"), 0);
    assert_int_not_equal(id_of(catalog, "new"), 0);
    assert_int_equal(RpCatalog_Revision(catalog), before + 1);
    RpCatalog_Free(catalog);
}

static const struct rp_catalog_entry *
find_entry(const struct rp_catalog *catalog, const char *text)
{
    struct rp_name name;

    RpName_Set(&name, RpStr_FromC(text));
    return RpCatalog_Find(catalog, &name);
}

/* A change of only the limits of cold hosts changes the service, so that its
 * nodes are told, and is part of a snapshot. The catalogue keeps the limits of
 * a service that is only a former target. */
static void
test_changed_limits_of_cold_hosts(void **state)
{
    static const char *const bodies[] = {
        "{\"version\":1,\"routes\":[" ROUTE(
            "10.1.0.1", "443", "9",
            "lens") "],\"services\":[{\"name\":\"lens\"}]}",
        "{\"version\":2,\"routes\":[" ROUTE(
            "10.1.0.1", "443", "9",
            "lens") "],\"services\":[{\"name\":\"lens\",\"cold-per-s\":20}]}",
        "{\"version\":3,\"routes\":[" ROUTE(
            "10.1.0.1", "443", "9",
            "lens") "],\"services\":[{\"name\":\"lens\",\"cold-per-s\":20,"
                    "\"warmup-s\":1.5}]}",
        "{\"version\":4,\"routes\":[" ROUTE(
            "10.1.0.1", "443", "9",
            "shelf") "],\"services\":[{\"name\":\"shelf\"}]}"};
    static const uint32_t rates[] = {0, 20000, 20000, 20000};
    static const uint32_t warmups[] = {0, 0, 1500, 1500};
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_catalog *copy = RpCatalog_Create();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        apply_and_check(catalog, bodies[i], RP_OK, false, i + 1);
        const struct rp_catalog_entry *entry = find_entry(catalog, "lens");
        assert_int_equal(entry->document.cold_per_1000_s, rates[i]);
        assert_int_equal(entry->document.warmup_ms, warmups[i]);
        assert_int_equal(entry->revision, MIN(i + 1, 3));
        GString *bytes = RpCatalog_Snapshot(catalog);
        assert_int_equal(
            RpCatalog_Restore(
                copy, (struct rp_str){.data = bytes->str, .len = bytes->len}),
            RP_OK);
        entry = find_entry(copy, "lens");
        assert_int_equal(entry->document.cold_per_1000_s, rates[i]);
        assert_int_equal(entry->document.warmup_ms, warmups[i]);
        g_string_free(bytes, TRUE);
    }
    RpCatalog_Free(catalog);
    RpCatalog_Free(copy);
}

/* Returns `schema` without its last fields, as an earlier release has it. */
static struct rp_schema
without_last(const struct rp_schema *schema, size_t fields)
{
    struct rp_schema earlier = *schema;

    earlier.count -= fields;
    earlier.required = MIN(earlier.required, earlier.count);
    return earlier;
}

/* An earlier release's service without limits of cold hosts can be read, and
 * an earlier release reads one with them. */
static void
test_services_of_earlier_releases(void **state)
{
    const struct rp_schema earlier = without_last(&rp_edition_service_schema,
                                                  2);
    struct rp_edition_service service = {
        .flows_per_upstream = 12, .warmup_ms = 2000, .cold_per_1000_s = 500};

    (void)state;
    RpName_Set(&service.name, RpStr_FromC("lens"));
    for (int i = 0; i < 2; i++) {
        const struct rp_schema *from = i ? &rp_edition_service_schema
                                         : &earlier;
        const struct rp_schema *to = i ? &earlier : &rp_edition_service_schema;
        struct rp_edition_service read = {0};
        GString *bytes = RpSchema_Encode(from, &service);
        assert_true(RpSchema_Decode(
            to, (struct rp_str){.data = bytes->str, .len = bytes->len},
            &read));
        assert_int_equal(read.flows_per_upstream, 12);
        assert_int_equal(read.warmup_ms, 0);
        assert_int_equal(read.cold_per_1000_s, 0);
        g_string_free(bytes, TRUE);
    }
}

/* The same for a service of a table, and for an upstream of a status, whose
 * age an earlier release does not tell. */
static void
test_messages_of_earlier_releases(void **state)
{
    const struct rp_schema earlier[] = {
        without_last(&rp_msg_service_schema, 2),
        without_last(&rp_msg_upstream_info_schema, 2)};
    const struct rp_msg_service service = {.silence_ms = 9,
                                           .cold_per_1000_s = 500};
    const struct rp_msg_upstream_info upstream = {.busy = 9, .heard_here = 1};
    struct rp_msg_service service_read = {0};
    struct rp_msg_upstream_info upstream_read = {0};

    (void)state;
    GString *bytes = RpSchema_Encode(&earlier[0], &service);
    assert_true(
        RpSchema_Decode(&rp_msg_service_schema,
                        (struct rp_str){.data = bytes->str, .len = bytes->len},
                        &service_read));
    assert_int_equal(service_read.silence_ms, 9);
    assert_int_equal(service_read.cold_per_1000_s, 0);
    RpSchema_Clear(&rp_msg_service_schema, &service_read);
    g_string_free(bytes, TRUE);
    bytes = RpSchema_Encode(&earlier[1], &upstream);
    assert_true(
        RpSchema_Decode(&rp_msg_upstream_info_schema,
                        (struct rp_str){.data = bytes->str, .len = bytes->len},
                        &upstream_read));
    assert_int_equal(upstream_read.busy, 9);
    assert_int_equal(upstream_read.heard_here, 0);
    g_string_free(bytes, TRUE);
}

/* A snapshot holds the edition, its content and the ids of its services. */
static void
test_snapshot_round_trip(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_catalog *copy = RpCatalog_Create();

    (void)state;
    apply_and_check(catalog, one_route, RP_OK, false, 7);
    apply_and_check(catalog, two_routes, RP_OK, false, 9);
    GString *bytes = RpCatalog_Snapshot(catalog);
    struct rp_str view = {.data = bytes->str, .len = bytes->len};
    assert_int_equal(RpCatalog_Restore(copy, view), RP_OK);
    assert_string_equal(RpCatalog_Edition(copy)->content->str, two_routes);
    assert_int_equal(id_of(copy, "lens"), id_of(catalog, "lens"));
    assert_int_equal(id_of(copy, "shelf"), id_of(catalog, "shelf"));
    apply_and_check(copy, two_routes, RP_OK, true, 9);
    GString *again = RpCatalog_Snapshot(copy);
    assert_true(g_string_equal(bytes, again));
    g_string_free(bytes, TRUE);
    g_string_free(again, TRUE);
    RpCatalog_Free(catalog);
    RpCatalog_Free(copy);
}

/* A service cannot have a document and be in the edition at the same time. */
static void
test_document_conflicts(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_msg_change change = {
        .id = {1},
        .kind = RP_CHANGE_APPLY,
        .document = g_string_new(
            "[service]\nname = lens\naddress = 10.80.0.1:7000\n")};
    struct rp_msg_change_reply reply = {0};

    (void)state;
    GString *command = RpCatalog_EncodeChange(&change);
    struct rp_str view = {.data = command->str, .len = command->len};
    RpCatalog_Apply(catalog, view, NULL);
    apply_and_check(catalog, one_route, RP_ERR_DOCUMENT, false, 0);
    RpCatalog_Free(catalog);
    catalog = RpCatalog_Create();
    apply_and_check(catalog, one_route, RP_OK, false, 7);
    RpCatalog_Apply(catalog, view, &reply);
    assert_int_equal(reply.code, RP_ERR_DOCUMENT);
    RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
    g_string_free(command, TRUE);
    g_string_free(change.document, TRUE);
    RpCatalog_Free(catalog);
}

static void
expire_former(struct rp_catalog *catalog, uint64_t revision)
{
    GString *command = RpCatalog_EncodeExpireFormer(revision);

    assert_int_equal(RpCatalog_Apply(catalog,
                                     (struct rp_str){.data = command->str,
                                                     .len = command->len},
                                     NULL),
                     RP_OK);
    g_string_free(command, TRUE);
}

/* The number of messages to a node, the list lengths of the last one, and the
 * node's table. */
struct sent {
    uint32_t count;
    uint32_t vips;
    uint32_t removed_vips;
    uint32_t services;
    uint32_t removed;
    struct rp_table *table;
};

static void
record_message(void *user, uint64_t connection, const struct rp_msg *msg)
{
    struct sent *sent = (struct sent *)user + connection;

    sent->count++;
    sent->vips = msg->table.vips->len;
    sent->removed_vips = msg->table.removed_vips->len;
    sent->services = msg->table.services->len;
    sent->removed = msg->table.removed->len;
    assert_int_equal(RpTable_Apply(sent->table, &msg->table), RP_OK);
}

static void
subscribe(struct rp_distribution *distribution, uint64_t connection,
          const char *name, enum rp_role role, const char *service)
{
    struct rp_msg_hello hello = {.role = (uint8_t)role};
    struct rp_msg_subscribe subscription = {0};

    RpName_Set(&hello.name, RpStr_FromC(name));
    RpName_Set(&subscription.service, RpStr_FromC(service));
    RpDistribution_Subscribe(distribution, 0, connection, &hello,
                             &subscription);
}

static bool
resolves_to(const struct rp_table *table, uint32_t ip, uint16_t port,
            const char *service)
{
    const struct rp_service *found = RpTable_SelectService(
        table, (struct rp_endpoint){.ip = ip, .port = port}, 12345);

    return found ? !strcmp(found->name.data, service) : service[0] == '\0';
}

/* When the edition changes, each node is sent only the changed services and
 * virtual addresses that are visible to it. */
static void
test_distribution(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_registry *registry = RpRegistry_Create();
    struct sent sent[3] = {0};
    const int64_t later = 1000000;

    (void)state;
    sent[1].table = RpTable_Create();
    sent[2].table = RpTable_Create();
    apply_and_check(catalog, one_route, RP_OK, false, 7);
    struct rp_distribution *distribution = RpDistribution_Create(
        catalog, registry, record_message, sent);
    RpDistribution_MarkAllChanged(distribution, 0);
    RpDistribution_SetFresh(distribution, 0, true);
    subscribe(distribution, 1, "balancer-1", RP_ROLE_BALANCER, "");
    subscribe(distribution, 2, "agent-1", RP_ROLE_AGENT, "shelf");
    RpDistribution_Flush(distribution, later);
    assert_int_equal(sent[1].vips, 1);
    assert_int_equal(sent[2].vips, 0);
    assert_true(resolves_to(sent[1].table, 0x0a010001, 443, "lens"));

    apply_and_check(catalog, two_routes, RP_OK, false, 9);
    RpDistribution_MarkEditionChanged(distribution, later);
    RpDistribution_Flush(distribution, 2 * later);
    assert_int_equal(sent[1].vips, 1);
    assert_int_equal(sent[1].services, 0);
    assert_int_equal(sent[2].vips, 1);
    assert_true(resolves_to(sent[1].table, 0x0a010001, 443, "lens"));
    /* The agent of one service also gets the other service that shares its
     * virtual address. */
    assert_int_equal(RpTable_CountServices(sent[2].table), 2);

    /* A change of only a limit reaches the nodes of the service. */
    apply_and_check(
        catalog,
        "{\"version\":10,\"routes\":[" ROUTE(
            "10.1.0.1", "443", "1500",
            "lens") "," SPLIT("10.1.0.2", "80", "90",
                              "10") "],\"services\":[{\"name\":\"lens\","
                                    "\"max-conns\":2000},{\"name\":\"shelf\","
                                    "\"max-conns\":10,\"cold-per-s\":0.5,"
                                    "\"warmup-s\":2.0}]}",
        RP_OK, false, 10);
    RpDistribution_MarkEditionChanged(distribution, 2 * later);
    RpDistribution_Flush(distribution, 5 * later / 2);
    assert_int_equal(sent[1].services, 1);
    struct rp_name shelf;
    RpName_Set(&shelf, RpStr_FromC("shelf"));
    const struct rp_service *service = RpTable_FindByName(sent[2].table,
                                                          &shelf);
    /* An operator who asks for the whole table gets a balancer's. */
    struct rp_msg whole;
    RpDistribution_FillTable(distribution, &whole);
    assert_int_equal(whole.table.complete, 1);
    assert_int_equal(whole.table.services->len,
                     RpTable_CountServices(sent[1].table));
    assert_int_equal(whole.table.vips->len, 2);
    RpMsg_Clear(&whole);
    assert_int_equal(service->cold_per_1000_s, 500);
    assert_int_equal(service->warmup_ms, 2000);

    apply_and_check(catalog,
                    "{\"version\":13,\"routes\":[" ROUTE(
                        "10.1.0.2", "80", "9",
                        "new") "],\"services\":[{\"name\":\"new\"}]}",
                    RP_OK, false, 13);
    RpDistribution_MarkEditionChanged(distribution, 5 * later / 2);
    RpDistribution_Flush(distribution, 3 * later);
    assert_int_equal(sent[1].vips, 1);
    assert_int_equal(sent[1].removed_vips, 1);
    assert_int_equal(sent[1].services, 1);
    /* The services stay for their open flows to the address that moved, and
     * are removed once no flow of that time can be open. */
    assert_int_equal(sent[1].removed, 0);
    assert_true(resolves_to(sent[1].table, 0x0a010001, 443, ""));
    assert_true(resolves_to(sent[1].table, 0x0a010002, 80, "new"));
    expire_former(catalog, RpCatalog_FormerRevision(catalog));
    RpDistribution_MarkEditionChanged(distribution, 3 * later);
    RpDistribution_Flush(distribution, 4 * later);
    assert_int_equal(sent[1].vips, 1);
    assert_int_equal(sent[1].services, 0);
    assert_int_equal(sent[1].removed, 2);
    assert_int_equal(RpTable_CountServices(sent[1].table), 1);
    assert_int_equal(RpTable_Revision(sent[1].table),
                     RpCatalog_Revision(catalog));
    RpDistribution_Free(distribution);
    RpRegistry_Free(registry);
    RpCatalog_Free(catalog);
    RpTable_Free(sent[1].table);
    RpTable_Free(sent[2].table);
}

/* A replica that has just started marks its tables as gathering, and sends
 * full tables without the mark after RP_GATHERING_US. */
static void
test_gathering_tables(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_registry *registry = RpRegistry_Create();
    struct sent sent[2] = {0};

    (void)state;
    sent[1].table = RpTable_Create();
    apply_and_check(catalog, two_routes, RP_OK, false, 9);
    struct rp_distribution *distribution = RpDistribution_Create(
        catalog, registry, record_message, sent);
    RpDistribution_SetGatheringUntil(distribution, RP_GATHERING_US);
    RpDistribution_SetFresh(distribution, 0, true);
    subscribe(distribution, 1, "balancer-1", RP_ROLE_BALANCER, "");
    RpDistribution_Flush(distribution, 1);
    assert_int_equal(sent[1].count, 1);
    assert_true(RpTable_MayLackMembers(sent[1].table));
    RpDistribution_Flush(distribution, RP_GATHERING_US - 1);
    assert_int_equal(sent[1].count, 1);
    RpDistribution_Flush(distribution, RP_GATHERING_US);
    assert_int_equal(sent[1].count, 2);
    assert_false(RpTable_MayLackMembers(sent[1].table));
    assert_int_equal(sent[1].vips, 2);
    RpDistribution_Free(distribution);
    RpRegistry_Free(registry);
    RpCatalog_Free(catalog);
    RpTable_Free(sent[1].table);
}

/* Targets of a virtual address get new flows in proportion to their
 * weights. */
static void
test_weights(void **state)
{
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_registry *registry = RpRegistry_Create();
    struct sent sent[2] = {0};
    uint32_t lens = 0;

    (void)state;
    sent[1].table = RpTable_Create();
    apply_and_check(catalog, two_routes, RP_OK, false, 9);
    struct rp_distribution *distribution = RpDistribution_Create(
        catalog, registry, record_message, sent);
    RpDistribution_SetFresh(distribution, 0, true);
    subscribe(distribution, 1, "balancer-1", RP_ROLE_BALANCER, "");
    RpDistribution_Flush(distribution, 0);
    for (uint32_t i = 0; i < 10000; i++) {
        struct rp_flow_key key = {.src_ip = i, .dst_ip = 0x0a010002};
        const struct rp_service *service = RpTable_SelectService(
            sent[1].table, (struct rp_endpoint){.ip = 0x0a010002, .port = 80},
            RpTable_HashFlow(sent[1].table, key));
        lens += !strcmp(service->name.data, "lens");
    }
    /* 90 of 100, within four standard deviations. */
    assert_in_range(lens, 8880, 9120);
    RpDistribution_Free(distribution);
    RpRegistry_Free(registry);
    RpCatalog_Free(catalog);
    RpTable_Free(sent[1].table);
}

/* Announces one upstream with the address `ip` for the service. */
static void
announce(struct rp_registry *registry, const char *service, uint32_t ip)
{
    struct rp_msg_announce message = {.agent_ip = ip,
                                      .agent_port = 1,
                                      .slots = 2,
                                      .state = RP_UPSTREAM_READY,
                                      .incarnation = 1,
                                      .sequence = 1,
                                      .lease_ms = 2000};
    gchar *name = g_strdup_printf("up-%u", ip);

    RpName_Set(&message.upstream, RpStr_FromC(name));
    RpName_Set(&message.service, RpStr_FromC(service));
    assert_int_equal(RpRegistry_Merge(registry, 0, &message, NULL),
                     RP_REGISTRY_CHANGED);
    g_free(name);
}

/* Returns the agents that a balancer lists for a packet to 10.1.0.1:443, as
 * their addresses in order. */
static const char *
routed_to(const struct rp_table *table, uint8_t flags)
{
    static char text[64];
    struct rp_flow_key key = {.src_ip = 0x0a090001,
                              .src_port = 4000,
                              .dst_ip = 0x0a010001,
                              .dst_port = 443};
    struct test_packet test;
    struct rp_route route;
    size_t len = 0;

    make_test_packet(&test, key, flags, 1, 1, 0);
    RpBalancer_Route(table, &test.packet, &route);
    text[0] = '\0';
    for (size_t i = 0; i < route.chain.count; i++) {
        len += (size_t)g_snprintf(text + len, sizeof text - len, "%s%u",
                                  i ? " " : "", route.chain.hop[i].ip);
    }
    return text;
}

/* The pattern of a change of route under load: most flows to an address are
 * open when an edition moves it to another service. New flows go to the new
 * service; packets of open flows also to the services that had the address
 * before, the latest first, until no flow of that time can be open. */
static void
test_moved_address(void **state)
{
    static const struct {
        const char *edition;
        bool expires; /* what the editions before have recorded */
        const char *new_flow;
        const char *open_flow;
    } steps[] = {
        {EDITION("1", ROUTE("10.1.0.1", "443", "9", "lens")), false, "1", "1"},
        {EDITION("2", ROUTE("10.1.0.1", "443", "9", "shelf")), false, "2",
         "2 1"},
        /* Something else of the address changes. */
        {EDITION("3", ROUTE("10.1.0.1", "443", "8", "shelf")), false, "2",
         "2 1"},
        /* It moves back, and then again. */
        {EDITION("4", ROUTE("10.1.0.1", "443", "8", "lens")), false, "1",
         "1 2"},
        {EDITION("5", ROUTE("10.1.0.1", "443", "8", "shelf")), true, "2", "2"},
        /* It is split, and then goes to a service that was not there; the
         * edition no longer lists the others. */
        {EDITION("6", SPLIT("10.1.0.1", "443", "1", "99")), false, "2", "2"},
        {"{\"version\":7,\"routes\":[" ROUTE(
             "10.1.0.1", "443", "9",
             "new") "],\"services\":[{\"name\":\"new\"}]}",
         false, "3", "3 2 1"},
        {EDITION("8", ROUTE("10.1.0.1", "443", "9", "lens")), false, "1",
         "1 3 2"},
        /* The route is dropped, with its open flows, and comes back. */
        {EDITION("9", ""), false, "", ""},
        {EDITION("10", ROUTE("10.1.0.1", "443", "9", "shelf")), false, "2",
         "2"},
    };
    struct rp_catalog *catalog = RpCatalog_Create();
    struct rp_registry *registry = RpRegistry_Create();

    (void)state;
    announce(registry, "lens", 1);
    announce(registry, "shelf", 2);
    announce(registry, "new", 3);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        struct sent sent[2] = {{.count = 0}, {.table = RpTable_Create()}};
        struct rp_distribution *distribution;
        struct rp_msg_change_reply reply = apply(catalog, steps[i].edition);
        assert_int_equal(reply.code, RP_OK);
        RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
        if (steps[i].expires) {
            expire_former(catalog, RpCatalog_FormerRevision(catalog));
            assert_int_equal(RpCatalog_FormerRevision(catalog), 0);
        }
        /* A replica that restarts from a snapshot knows the same. */
        GString *bytes = RpCatalog_Snapshot(catalog);
        assert_int_equal(
            RpCatalog_Restore(catalog, (struct rp_str){.data = bytes->str,
                                                       .len = bytes->len}),
            RP_OK);
        GString *again = RpCatalog_Snapshot(catalog);
        assert_true(g_string_equal(bytes, again));
        g_string_free(bytes, TRUE);
        g_string_free(again, TRUE);
        distribution = RpDistribution_Create(catalog, registry, record_message,
                                             sent);
        RpDistribution_SetFresh(distribution, 0, true);
        subscribe(distribution, 1, "balancer-1", RP_ROLE_BALANCER, "");
        RpDistribution_Flush(distribution, 0);
        assert_string_equal(routed_to(sent[1].table, RP_TCP_SYN),
                            steps[i].new_flow);
        assert_string_equal(routed_to(sent[1].table, RP_TCP_ACK),
                            steps[i].open_flow);
        RpDistribution_Free(distribution);
        RpTable_Free(sent[1].table);
    }
    RpRegistry_Free(registry);
    RpCatalog_Free(catalog);
}

/* Sends the address to the service number `service` of ten. */
static void
move_address(struct rp_catalog *catalog, unsigned version, unsigned service)
{
    GString *body = g_string_new(NULL);

    g_string_printf(body,
                    "{\"version\":%u,\"routes\":[{\"name\":\"r\","
                    "\"host\":\"10.1.0.1\",\"path-prefix\":\"/443/\","
                    "\"route-type\":\"idempotent\",\"timeout-ms\":9,"
                    "\"target-latency-ms\":250,\"priority\":2,"
                    "\"service\":\"s%u\"}],\"services\":[",
                    version, service);
    for (unsigned i = 1; i <= 10; i++) {
        g_string_append_printf(body, "%s{\"name\":\"s%u\"}", i > 1 ? "," : "",
                               i);
    }
    g_string_append(body, "]}");
    apply_and_check(catalog, body->str, RP_OK, false, version);
    g_string_free(body, TRUE);
}

/* Guards against a list of former targets that drops one unnoticed, or one
 * more than it must when a move is taken back. */
static void
test_many_former_targets(void **state)
{
    static const struct {
        unsigned service;
        const char *former; /* ids, the latest last; 0: not listed */
    } moves[] = {
        {1, ""},
        {2, "1 "},
        {3, "1 2 "},
        {4, "1 2 3 "},
        {5, "1 2 3 4 "},
        {6, "1 2 3 4 5 "},
        {7, "1 2 3 4 5 6 "},
        {8, "1 2 3 4 5 6 7 "},
        {7, "1 2 3 4 5 6 8 "},
        {9, "0 2 3 4 5 6 8 7 "},
        {10, "0 3 4 5 6 8 7 9 "},
        {0, "3 4 5 6 8 7 9 "}, /* those before are forgotten */
    };
    struct rp_catalog *catalog = RpCatalog_Create();
    const struct rp_endpoint address = {.ip = 0x0a010001, .port = 443};

    (void)state;
    for (unsigned i = 0; i < G_N_ELEMENTS(moves); i++) {
        const GArray *former = RpCatalog_FormerTargets(catalog, address);
        GString *text = g_string_new(NULL);
        if (moves[i].service > 0) {
            move_address(catalog, i + 1, moves[i].service);
        }
        else {
            expire_former(
                catalog,
                g_array_index(former, struct rp_former_target, 0).revision);
        }
        former = RpCatalog_FormerTargets(catalog, address);
        for (guint j = 0; former && j < former->len; j++) {
            g_string_append_printf(
                text, "%u ",
                g_array_index(former, struct rp_former_target, j).service_id);
        }
        assert_string_equal(text->str, moves[i].former);
        g_string_free(text, TRUE);
    }
    RpCatalog_Free(catalog);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_decode_and_check),
        cmocka_unit_test(test_limits_of_cold_hosts),
        cmocka_unit_test(test_truncated_bodies),
        cmocka_unit_test(test_versions),
        cmocka_unit_test(test_changed_limits_of_cold_hosts),
        cmocka_unit_test(test_services_of_earlier_releases),
        cmocka_unit_test(test_messages_of_earlier_releases),
        cmocka_unit_test(test_snapshot_round_trip),
        cmocka_unit_test(test_document_conflicts),
        cmocka_unit_test(test_distribution),
        cmocka_unit_test(test_gathering_tables),
        cmocka_unit_test(test_weights),
        cmocka_unit_test(test_moved_address),
        cmocka_unit_test(test_many_former_targets),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
