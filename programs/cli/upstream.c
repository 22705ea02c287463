/* radishport upstream drain and upstream resume: send an order to the agent of
 * an upstream through a control instance. */
#include "cli.h"

#define POLL_US 200000
#define MAX_WAIT_SECONDS 86400

struct upstream_settings {
    struct rp_cli_settings cli;
    GString *upstream;
    uint32_t wait_seconds;
};

static const struct rp_setting settings_table[] = {
    RP_CLI_SETTINGS(upstream_settings, cli),
    {.kind = RP_SETTING_TEXT,
     .offset = offsetof(struct upstream_settings, upstream),
     .value = "NAME",
     .help = "the upstream's name in radishport status"},
    {.flag = "wait-seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct upstream_settings, wait_seconds),
     .value = "N",
     .help = "when draining, wait up to N seconds for open flows to end",
     .fallback = "0",
     .max = MAX_WAIT_SECONDS},
};

/* Sends the order to each control instance in turn, until the one that the
 * agent is connected to accepts it. Returns the exit code. */
static int
send_order(const struct upstream_settings *settings,
           const struct rp_name *upstream, bool draining)
{
    const struct rp_msg request = {
        .type = RP_MSG_ORDER,
        .order = {.upstream = *upstream, .draining = draining}};
    int exit_code = RP_CLI_UNREACHABLE;

    for (size_t i = 0; i < settings->cli.controls.count; i++) {
        struct rp_cli_settings single = settings->cli;
        struct rp_msg answer;
        single.controls.count = 1;
        single.controls.item[0] = settings->cli.controls.item[i];
        single.timeout_seconds = 1;
        if (!RpCli_SendRequest(&single, &request, RP_MSG_ORDER_REPLY, &answer,
                               &exit_code)) {
            continue;
        }
        if (answer.order_reply.code == RP_OK) {
            return RP_CLI_OK;
        }
        exit_code = RP_CLI_REFUSED;
    }
    if (exit_code == RP_CLI_REFUSED) {
        fprintf(stderr, "%s: no such upstream is connected\n", upstream->data);
    }
    return exit_code;
}

/* Returns the number of the upstream's open flows; -1 if no control instance
 * answers or the status does not list the upstream any more. */
static int64_t
count_flows(const struct upstream_settings *settings,
            const struct rp_name *upstream)
{
    struct rp_msg answer;
    int exit_code;
    int64_t flows = -1;

    if (!RpCli_FetchStatus(&settings->cli, NULL, &answer, &exit_code)) {
        return -1;
    }
    for (guint i = 0; i < answer.status.upstreams->len; i++) {
        const struct rp_msg_upstream_info *row = &g_array_index(
            answer.status.upstreams, struct rp_msg_upstream_info, i);
        if (RpName_Equal(&row->upstream, upstream)) {
            flows = row->flows;
        }
    }
    RpMsg_Clear(&answer);
    return flows;
}

/* Waits until the upstream has no open flows or --wait-seconds have passed,
 * and shows their number meanwhile. */
static void
wait_for_flows(const struct upstream_settings *settings,
               const struct rp_name *upstream)
{
    int64_t deadline = g_get_monotonic_time() +
                       settings->wait_seconds * RP_US_PER_SECOND;
    int64_t flows;

    while ((flows = count_flows(settings, upstream)) > 0 &&
           g_get_monotonic_time() < deadline) {
        fprintf(stderr, "\r%" G_GINT64_FORMAT " open flows  ", flows);
        g_usleep(POLL_US);
    }
    fprintf(stderr, "\r%" G_GINT64_FORMAT " open flows left\n", MAX(flows, 0));
}

static int
run_command(int argc, char **argv, const char *program, const char *usage,
            bool draining)
{
    struct upstream_settings settings = {0};
    struct rp_name upstream;
    int exit_code;

    if (!RpCli_ReadSettings(settings_table, G_N_ELEMENTS(settings_table),
                            program, usage, argc, argv, &settings,
                            &exit_code)) {
        return exit_code;
    }
    if (!RpName_Set(&upstream, RpStr_FromC(settings.upstream->str))) {
        fprintf(stderr, "NAME: longer than %d bytes\n", RP_NAME_MAX);
        return RP_CLI_USAGE;
    }
    exit_code = send_order(&settings, &upstream, draining);
    if (exit_code == RP_CLI_OK && draining && settings.wait_seconds) {
        wait_for_flows(&settings, &upstream);
    }
    return exit_code;
}

int
RpCli_UpstreamDrain(int argc, char **argv)
{
    return run_command(
        argc, argv, "radishport upstream drain",
        "Stops new flows to an upstream until it is resumed or its "
        "agent restarts.\nOpen flows go on.",
        true);
}

int
RpCli_UpstreamResume(int argc, char **argv)
{
    return run_command(argc, argv, "radishport upstream resume",
                       "Allows new flows to a drained upstream.", false);
}
