/* Stand-in for machines without power: the kernel answers no attempt to
 * connect to the given addresses.
 *
 * A process that has ended refuses connections on loopback, while a machine
 * without power stays silent. This stand-in listens with the shortest queue
 * and fills the queue itself, so the kernel drops every further SYN. */
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "standin.h"

/* A queue of length 0 takes one connection; the second one is to spare. */
#define FILLERS 2

struct silence_settings {
    struct rp_endpoints listen;
};

static struct silence_settings settings;

static const struct rp_setting settings_table[] = {
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct silence_settings, listen),
     .value = "ADDR:PORT,…",
     .help = "addresses that stay silent"},
};

static void
silence(struct rp_endpoint address)
{
    int fd = standin_listen(address);

    if (listen(fd, 0)) {
        perror("listen");
        exit(1);
    }
    for (int i = 0; i < FILLERS; i++) {
        standin_connect(address);
    }
}

int
main(int argc, char **argv)
{
    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-silence", argc, argv, &settings);
    for (size_t i = 0; i < settings.listen.count; i++) {
        silence(settings.listen.item[i]);
    }
    standin_run();
    return 0;
}
