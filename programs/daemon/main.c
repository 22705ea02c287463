/* Entry point of radishportd, which runs one of three roles: balancer, agent
 * or control. */
#include <stdio.h>
#include <string.h>

#include "rp_daemon.h"

static const struct {
    const char *name;
    int (*main)(int argc, char **argv);
    const char *help;
} roles[] = {
    {"balancer", RpBalancer_Main,
     "forwards packets from the fabric to agents"},
    {"agent", RpAgent_Main,
     "runs beside one upstream instance and owns its flows"},
    {"control", RpControl_Main,
     "stores the configuration and tracks the upstreams"},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "Usage: radishportd ROLE [FLAGS]\n\nRoles:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        fprintf(out, "  %-10s %s\n", roles[i].name, roles[i].help);
    }
    fprintf(out,
            "\nradishportd ROLE --help lists the role's flags.\n"
            "Exit codes: 0 stopped on request, 1 failure, 2 bad settings.\n");
}

int
main(int argc, char **argv)
{
    if (argc >= 2 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
        print_usage(stdout);
        return RP_EXIT_OK;
    }
    if (argc >= 2 &&
        (!strcmp(argv[1], "--version") || !strcmp(argv[1], "-V"))) {
        printf("radishportd %s\n", RP_VERSION);
        return RP_EXIT_OK;
    }
    for (size_t i = 0; argc >= 2 && i < G_N_ELEMENTS(roles); i++) {
        if (!strcmp(argv[1], roles[i].name)) {
            return roles[i].main(argc - 1, argv + 1);
        }
    }
    print_usage(stderr);
    return RP_EXIT_SETTINGS;
}
