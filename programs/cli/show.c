/* radishport status, and service list, service get and service status: the
 * commands that only read. */
#include "cli.h"

struct show_settings {
    struct rp_cli_settings cli;
    GString *service;
};

static const struct rp_setting common_table[] = {
    RP_CLI_SETTINGS(show_settings, cli),
};

static const struct rp_setting service_table[] = {
    RP_CLI_SETTINGS(show_settings, cli),
    {.kind = RP_SETTING_TEXT,
     .offset = offsetof(struct show_settings, service),
     .value = "NAME",
     .help = "the service"},
};

#define BOLD "\033[1m"
#define RED "\033[31m"
#define RESET_STYLE "\033[0m"

static void
print_heading(const char *text)
{
    if (RpCli_IsColourAllowed()) {
        printf(BOLD "%s" RESET_STYLE "\n", text);
    }
    else {
        printf("%s\n", text);
    }
}

static void
add_service_json(JsonBuilder *builder, const struct rp_msg_service_info *row)
{
    char ip[RP_ENDPOINT_TEXT_MAX];
    struct rp_endpoint address = {.ip = row->address, .port = row->port};

    json_builder_begin_object(builder);
    RpCli_AddText(builder, "name", row->name.data);
    RpCli_AddText(builder, "address", RpEndpoint_Format(address, ip));
    RpCli_AddNumber(builder, "revision", row->revision);
    RpCli_AddNumber(builder, "ready", row->ready);
    RpCli_AddNumber(builder, "draining", row->draining);
    RpCli_AddNumber(builder, "lost", row->lost);
    RpCli_AddNumber(builder, "slots", row->slots);
    RpCli_AddNumber(builder, "flows", row->flows);
    RpCli_AddNumber(builder, "busy", row->busy);
    json_builder_end_object(builder);
}

static void
add_services_json(JsonBuilder *builder, const GArray *rows)
{
    json_builder_set_member_name(builder, "services");
    json_builder_begin_array(builder);
    for (guint i = 0; i < rows->len; i++) {
        add_service_json(builder,
                         &g_array_index(rows, struct rp_msg_service_info, i));
    }
    json_builder_end_array(builder);
}

static void
print_services(const GArray *rows)
{
    print_heading("SERVICE            ADDRESS                REV  READY  "
                  "DRAIN  LOST  SLOTS  FLOWS  BUSY");
    for (guint i = 0; i < rows->len; i++) {
        const struct rp_msg_service_info *row = &g_array_index(
            rows, struct rp_msg_service_info, i);
        char text[RP_ENDPOINT_TEXT_MAX];
        struct rp_endpoint address = {.ip = row->address, .port = row->port};
        printf("%-18s %-21s %4" G_GUINT64_FORMAT " %6u %6u %5u %6u %6u %5u\n",
               row->name.data, RpEndpoint_Format(address, text), row->revision,
               row->ready, row->draining, row->lost, row->slots, row->flows,
               row->busy);
    }
}

int
RpCli_ServiceList(int argc, char **argv)
{
    const struct rp_msg request = {.type = RP_MSG_QUERY,
                                   .query = {.kind = RP_QUERY_SERVICES}};
    struct show_settings settings = {0};
    struct rp_msg answer;
    int exit_code;

    if (!RpCli_ReadSettings(common_table, G_N_ELEMENTS(common_table),
                            "radishport service list", "Lists the services.",
                            argc, argv, &settings, &exit_code)) {
        return exit_code;
    }
    if (!RpCli_SendRequest(&settings.cli, &request, RP_MSG_SERVICES, &answer,
                           &exit_code)) {
        return exit_code;
    }
    if (settings.cli.json) {
        JsonBuilder *builder = json_builder_new();
        json_builder_begin_object(builder);
        RpCli_AddNumber(builder, "revision", answer.services.revision);
        add_services_json(builder, answer.services.services);
        json_builder_end_object(builder);
        RpCli_PrintJson(builder);
    }
    else {
        print_services(answer.services.services);
    }
    RpMsg_Clear(&answer);
    return RP_CLI_OK;
}

/* Reads the settings of a command on one service and fills in the type and
 * the service of its query. Returns false and sets `*exit_code` on errors. */
static bool
prepare_service_query(int argc, char **argv, const char *program,
                      const char *usage, struct show_settings *settings,
                      struct rp_msg *request, int *exit_code)
{
    if (!RpCli_ReadSettings(service_table, G_N_ELEMENTS(service_table),
                            program, usage, argc, argv, settings, exit_code)) {
        return false;
    }
    request->type = RP_MSG_QUERY;
    if (!RpName_Set(&request->query.service,
                    RpStr_FromC(settings->service->str))) {
        fprintf(stderr, "NAME: longer than %d bytes\n", RP_NAME_MAX);
        *exit_code = RP_CLI_USAGE;
        return false;
    }
    return true;
}

int
RpCli_ServiceGet(int argc, char **argv)
{
    struct show_settings settings = {0};
    struct rp_msg request = {.query = {.kind = RP_QUERY_DOCUMENT}};
    struct rp_msg answer;
    int exit_code;

    if (!prepare_service_query(
            argc, argv, "radishport service get",
            "Prints a service's document as it was accepted.", &settings,
            &request, &exit_code) ||
        !RpCli_SendRequest(&settings.cli, &request, RP_MSG_DOCUMENT, &answer,
                           &exit_code)) {
        return exit_code;
    }
    const struct rp_msg_document *document = &answer.document;
    exit_code = document->code == RP_OK ? RP_CLI_OK : RP_CLI_REFUSED;
    if (settings.cli.json) {
        JsonBuilder *builder = json_builder_new();
        json_builder_begin_object(builder);
        RpCli_AddText(builder, "result",
                      RpCode_Name((enum rp_code)document->code));
        RpCli_AddNumber(builder, "revision", document->revision);
        RpCli_AddText(builder, "document", document->document->str);
        json_builder_end_object(builder);
        RpCli_PrintJson(builder);
    }
    else if (document->code == RP_OK) {
        fwrite(document->document->str, 1, document->document->len, stdout);
    }
    else {
        fprintf(stderr, "%s: no such service\n", settings.service->str);
    }
    RpMsg_Clear(&answer);
    return exit_code;
}

static void
add_nodes_json(JsonBuilder *builder, const GArray *rows)
{
    json_builder_set_member_name(builder, "nodes");
    json_builder_begin_array(builder);
    for (guint i = 0; i < rows->len; i++) {
        const struct rp_msg_node_info *row = &g_array_index(
            rows, struct rp_msg_node_info, i);
        json_builder_begin_object(builder);
        RpCli_AddText(builder, "name", row->name.data);
        RpCli_AddText(builder, "zone", row->zone.data);
        RpCli_AddText(builder, "role", RpRole_Name((enum rp_role)row->role));
        RpCli_AddNumber(builder, "confirmed", row->confirmed);
        RpCli_AddNumber(builder, "behind_ms", row->behind_ms);
        RpCli_AddNumber(builder, "connected", row->connected);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_upstreams_json(JsonBuilder *builder, const GArray *rows)
{
    json_builder_set_member_name(builder, "upstreams");
    json_builder_begin_array(builder);
    for (guint i = 0; i < rows->len; i++) {
        const struct rp_msg_upstream_info *row = &g_array_index(
            rows, struct rp_msg_upstream_info, i);
        json_builder_begin_object(builder);
        RpCli_AddText(builder, "name", row->upstream.data);
        RpCli_AddText(builder, "service", row->service.data);
        RpCli_AddText(builder, "zone", row->zone.data);
        RpCli_AddText(
            builder, "state",
            RpUpstreamState_Name((enum rp_upstream_state)row->state));
        RpCli_AddNumber(builder, "slots", row->slots);
        RpCli_AddNumber(builder, "flows", row->flows);
        RpCli_AddNumber(builder, "busy", row->busy);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_replicas_json(JsonBuilder *builder, const GArray *rows)
{
    json_builder_set_member_name(builder, "replicas");
    json_builder_begin_array(builder);
    for (guint i = 0; i < rows->len; i++) {
        const struct rp_msg_replica_info *row = &g_array_index(
            rows, struct rp_msg_replica_info, i);
        json_builder_begin_object(builder);
        RpCli_AddText(builder, "name", row->name.data);
        RpCli_AddText(builder, "role", row->role.data);
        RpCli_AddNumber(builder, "term", row->term);
        RpCli_AddNumber(builder, "committed", row->committed);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
add_evacuated_json(JsonBuilder *builder, const GArray *rows)
{
    json_builder_set_member_name(builder, "evacuated_zones");
    json_builder_begin_array(builder);
    for (guint i = 0; rows && i < rows->len; i++) {
        json_builder_add_string_value(
            builder, g_array_index(rows, struct rp_msg_zone, i).name.data);
    }
    json_builder_end_array(builder);
}

/* Returns the oldest revision that a connected node runs. */
static uint64_t
lowest_confirmed(const struct rp_msg_status *status)
{
    uint64_t lowest = status->revision;

    for (guint i = 0; i < status->nodes->len; i++) {
        const struct rp_msg_node_info *node = &g_array_index(
            status->nodes, struct rp_msg_node_info, i);
        if (node->connected) {
            lowest = MIN(lowest, node->confirmed);
        }
    }
    return lowest;
}

static void
print_status_json(const struct rp_msg_status *status)
{
    JsonBuilder *builder = json_builder_new();

    json_builder_begin_object(builder);
    RpCli_AddNumber(builder, "revision", status->revision);
    RpCli_AddNumber(builder, "lowest_confirmed", lowest_confirmed(status));
    add_replicas_json(builder, status->replicas);
    add_services_json(builder, status->services);
    add_nodes_json(builder, status->nodes);
    add_upstreams_json(builder, status->upstreams);
    add_evacuated_json(builder, status->evacuated);
    json_builder_end_object(builder);
    RpCli_PrintJson(builder);
}

/* Prints the nodes that are disconnected or run an old revision, and how many
 * run the current one. */
static void
print_nodes_behind(const struct rp_msg_status *status)
{
    size_t behind;
    size_t connected = RpCli_CountNodes(status, status->revision, &behind);

    for (guint i = 0; i < status->nodes->len; i++) {
        const struct rp_msg_node_info *node = &g_array_index(
            status->nodes, struct rp_msg_node_info, i);
        const char *role = RpRole_Name((enum rp_role)node->role);
        if (!node->connected) {
            printf("away: %s %s\n", role, node->name.data);
        }
        else if (node->confirmed < status->revision) {
            printf("behind: %s %s runs revision %" G_GUINT64_FORMAT
                   ", for %.1f s\n",
                   role, node->name.data, node->confirmed,
                   node->behind_ms / 1000.0);
        }
    }
    printf("revision %" G_GUINT64_FORMAT ", in force on %zu of %zu "
           "instances\n",
           status->revision, connected - behind, connected);
}

static void
print_upstreams(const GArray *rows)
{
    bool colour = RpCli_IsColourAllowed();

    print_heading("UPSTREAM           SERVICE            ZONE       STATE    "
                  " SLOTS  FLOWS   BUSY");
    for (guint i = 0; i < rows->len; i++) {
        const struct rp_msg_upstream_info *row = &g_array_index(
            rows, struct rp_msg_upstream_info, i);
        bool is_lost = row->state == RP_UPSTREAM_LOST;
        printf("%s%-18s %-18s %-10s %-9s %5u %6u %6u%s\n",
               is_lost && colour ? RED : "", row->upstream.data,
               row->service.data, row->zone.data,
               RpUpstreamState_Name((enum rp_upstream_state)row->state),
               row->slots, row->flows, row->busy,
               is_lost && colour ? RESET_STYLE : "");
    }
}

static void
print_replicas(const GArray *rows)
{
    for (guint i = 0; i < rows->len; i++) {
        const struct rp_msg_replica_info *row = &g_array_index(
            rows, struct rp_msg_replica_info, i);
        printf("replica %s: %s, term %" G_GUINT64_FORMAT
               ", committed %" G_GUINT64_FORMAT "\n",
               row->name.data, row->role.data, row->term, row->committed);
    }
}

static void
print_evacuated(const GArray *rows)
{
    for (guint i = 0; rows && i < rows->len; i++) {
        printf("evacuated: %s\n",
               g_array_index(rows, struct rp_msg_zone, i).name.data);
    }
}

static void
print_status(const struct rp_msg_status *status)
{
    print_replicas(status->replicas);
    print_nodes_behind(status);
    print_evacuated(status->evacuated);
    printf("\n");
    print_services(status->services);
    printf("\n");
    print_upstreams(status->upstreams);
}

int
RpCli_ServiceStatus(int argc, char **argv)
{
    struct show_settings settings = {0};
    struct rp_msg request = {.query = {.kind = RP_QUERY_STATUS}};
    struct rp_msg answer;
    int exit_code;

    if (!prepare_service_query(
            argc, argv, "radishport service status",
            "Shows a service's upstreams, the current revision and the "
            "nodes that run an older one.",
            &settings, &request, &exit_code) ||
        !RpCli_FetchStatus(&settings.cli, &request.query.service, &answer,
                           &exit_code)) {
        return exit_code;
    }
    exit_code = RP_CLI_OK;
    if (answer.status.services->len == 0) {
        fprintf(stderr, "%s: no such service\n", settings.service->str);
        exit_code = RP_CLI_REFUSED;
    }
    else if (settings.cli.json) {
        print_status_json(&answer.status);
    }
    else {
        print_status(&answer.status);
    }
    RpMsg_Clear(&answer);
    return exit_code;
}

int
RpCli_Status(int argc, char **argv)
{
    struct show_settings settings = {0};
    struct rp_msg answer;
    int exit_code;

    if (!RpCli_ReadSettings(
            common_table, G_N_ELEMENTS(common_table), "radishport status",
            "Shows the replicas, nodes, services and upstreams.", argc, argv,
            &settings, &exit_code) ||
        !RpCli_FetchStatus(&settings.cli, NULL, &answer, &exit_code)) {
        return exit_code;
    }
    if (settings.cli.json) {
        print_status_json(&answer.status);
    }
    else {
        print_status(&answer.status);
    }
    RpMsg_Clear(&answer);
    return RP_CLI_OK;
}
