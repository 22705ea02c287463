/* radishport: the operator's command line. */
#include <stdio.h>
#include <string.h>

#include "cli.h"

struct command {
    const char *group; /* first word; NULL if the command has only one */
    const char *name;
    int (*run)(int argc, char **argv);
    const char *help;
};

static const struct command commands[] = {
    {"service", "apply", RpCli_ServiceApply, "apply a service document"},
    {"service", "list", RpCli_ServiceList, "list the services"},
    {"service", "get", RpCli_ServiceGet, "print a service's document"},
    {"service", "status", RpCli_ServiceStatus,
     "show a service's upstreams and where its document is in force"},
    {"service", "delete", RpCli_ServiceDelete, "remove a service"},
    {"upstream", "drain", RpCli_UpstreamDrain,
     "stop new flows to an upstream and keep its open ones"},
    {"upstream", "resume", RpCli_UpstreamResume,
     "allow new flows to a drained upstream"},
    {"zone", "evacuate", RpCli_ZoneEvacuate,
     "stop new flows to all upstreams of a data centre"},
    {"zone", "restore", RpCli_ZoneRestore,
     "allow new flows to an evacuated data centre"},
    {"route", "explain", RpCli_RouteExplain,
     "show where a packet would go now and why, without sending it"},
    {NULL, "status", RpCli_Status, "show the state of the whole system"},
    {NULL, "explain", RpCli_Explain,
     "show from log lines what happened to one request"},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "Usage: radishport COMMAND [FLAGS]\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct command *command = &commands[i];
        gchar *words = g_strdup_printf(
            "%s%s%s", command->group ? command->group : "",
            command->group ? " " : "", command->name);
        fprintf(out, "  %-16s %s\n", words, command->help);
        g_free(words);
    }
    fprintf(out,
            "\nradishport COMMAND --help lists the command's flags.\n"
            "RADISHPORT_CONTROL and RADISHPORT_KEY_FILE set --control and\n"
            "--key-file.\n"
            "\nExit codes: 0 done, 1 refused or not found, 2 invalid usage,\n"
            "3 no answer to a change (repeat it with the same --id),\n"
            "4 no control instance answered.\n");
}

/* Returns the command that the arguments name, or NULL, and sets `*words` to
 * the number of words in its name. */
static const struct command *
find_command(int argc, char **argv, int *words)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct command *command = &commands[i];
        *words = command->group ? 2 : 1;
        if (argc <= *words) {
            continue;
        }
        if (command->group && strcmp(argv[1], command->group)) {
            continue;
        }
        if (!strcmp(argv[*words], command->name)) {
            return command;
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    int words;

    if (argc >= 2 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
        print_usage(stdout);
        return RP_CLI_OK;
    }
    if (argc >= 2 &&
        (!strcmp(argv[1], "--version") || !strcmp(argv[1], "-V"))) {
        printf("radishport %s\n", RP_VERSION);
        return RP_CLI_OK;
    }
    const struct command *command = find_command(argc, argv, &words);
    if (!command) {
        print_usage(stderr);
        return RP_CLI_USAGE;
    }
    return command->run(argc - words, argv + words);
}
