/* radishport route explain: where a packet would go now, and why. Nothing is
 * sent but questions to control instances. */
#include "cli.h"
#include "route_text.h"

#define MAX_ZONE_WEIGHT 1000

struct route_settings {
    struct rp_cli_settings cli;
    struct rp_endpoint address;
    struct rp_endpoint from;
    struct rp_name via;
    uint32_t zone_weight;
    bool open;
};

static const struct rp_setting settings_table[] = {
    RP_CLI_SETTINGS(route_settings, cli),
    {.kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct route_settings, address),
     .value = "ADDR:PORT",
     .help = "the address that the caller connects to"},
    {.flag = "from",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct route_settings, from),
     .value = "ADDR:PORT",
     .help = "the caller; without it, a sample of callers is tried",
     .optional = true},
    {.flag = "via",
     .kind = RP_SETTING_NAME,
     .offset = offsetof(struct route_settings, via),
     .value = "ZONE",
     .help = "through a balancer of this zone",
     .optional = true},
    {.flag = "zone-weight",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct route_settings, zone_weight),
     .value = "N",
     .help = "with --via: the balancer's own --zone-weight",
     .fallback = "1",
     .min = 1,
     .max = MAX_ZONE_WEIGHT},
    {.flag = "open",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct route_settings, open),
     .help = "a packet of an open flow, not one that opens a flow"},
};

static void
print_steps(const GPtrArray *steps, bool json)
{
    JsonBuilder *builder = json ? json_builder_new() : NULL;

    if (json) {
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "steps");
        json_builder_begin_array(builder);
    }
    for (guint i = 0; i < steps->len; i++) {
        if (json) {
            json_builder_add_string_value(builder, steps->pdata[i]);
        }
        else {
            printf("%s\n", (const char *)steps->pdata[i]);
        }
    }
    if (json) {
        json_builder_end_array(builder);
        json_builder_end_object(builder);
        RpCli_PrintJson(builder);
    }
}

int
RpCli_RouteExplain(int argc, char **argv)
{
    const struct rp_msg request = {.type = RP_MSG_QUERY,
                                   .query = {.kind = RP_QUERY_TABLE}};
    struct route_settings settings = {0};
    struct rp_msg table;
    struct rp_msg status;
    int exit_code;
    bool served;

    if (!RpCli_ReadSettings(
            settings_table, G_N_ELEMENTS(settings_table),
            "radishport route explain",
            "Shows where a packet would go now and why, without sending it.",
            argc, argv, &settings, &exit_code) ||
        !RpCli_SendRequest(&settings.cli, &request, RP_MSG_TABLE, &table,
                           &exit_code)) {
        return exit_code;
    }
    bool has_load = RpCli_FetchStatus(&settings.cli, NULL, &status,
                                      &exit_code);
    const struct rp_route_question question = {
        .address = settings.address,
        .from = settings.from,
        .open = settings.open,
        .zone = settings.via,
        .zone_weight = settings.zone_weight};
    GPtrArray *steps = RpRouteText_Explain(
        &table.table, has_load ? &status.status : NULL, &question, &served);
    print_steps(steps, settings.cli.json);
    g_ptr_array_unref(steps);
    RpMsg_Clear(&table);
    if (has_load) {
        RpMsg_Clear(&status);
    }
    return served ? RP_CLI_OK : RP_CLI_REFUSED;
}
