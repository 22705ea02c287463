/* radishport zone evacuate and zone restore: send an order for a data centre,
 * which control keeps. */
#include "cli.h"

static const struct rp_setting settings_table[] = {
    RP_CLI_CHANGE_SETTINGS("NAME", "the data centre"),
};

static int
run_command(int argc, char **argv, const char *program, const char *usage,
            enum rp_change_kind kind)
{
    struct rp_cli_change settings = {0};
    struct rp_msg request = {.type = RP_MSG_CHANGE,
                             .change = {.kind = (uint8_t)kind}};
    int exit_code;

    if (!RpCli_ReadSettings(settings_table, G_N_ELEMENTS(settings_table),
                            program, usage, argc, argv, &settings,
                            &exit_code)) {
        return exit_code;
    }
    struct rp_str name = RpStr_FromC(settings.argument->str);
    if (!RpName_IsLabel(name) || !RpName_Set(&request.change.zone, name)) {
        fprintf(stderr, "NAME: \"%s\" is not a valid name\n", name.data);
        return RP_CLI_USAGE;
    }
    return RpCli_FillChangeId(&settings, &request.change)
               ? RpCli_SendChange(&settings, &request)
               : RP_CLI_USAGE;
}

int
RpCli_ZoneEvacuate(int argc, char **argv)
{
    return run_command(argc, argv, "radishport zone evacuate",
                       "Stops new flows to all upstreams of a data centre "
                       "until it is restored.\nOpen flows go on.",
                       RP_CHANGE_EVACUATE);
}

int
RpCli_ZoneRestore(int argc, char **argv)
{
    return run_command(argc, argv, "radishport zone restore",
                       "Allows new flows to an evacuated data centre.",
                       RP_CHANGE_RESTORE);
}
