/* A core machine is replaced, its successor first; then another one loses its
 * disk. Never more than one machine is lost at a time. */
#include "../lab-3/lab.h"

#include <stdio.h>
#include <string.h>

#define CATCH_UP_S 4.0   /* catch-up-s */
#define RECOVERY_S 12.0  /* recovery-s */
#define WIPE_AFTER_S 0.3 /* after the removal */
#define DOWN_S 1.0
#define WATCH_S 45.0

static const char *
config(int version)
{
    static char text[1024];
    snprintf(
        text, sizeof text,
        "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":"
        "\"198.18.0.1\",\"path-prefix\":\"/8443/\",\"route-type\":"
        "\"non_idempotent\",\"timeout-ms\":%d,\"target-latency-ms\":300,"
        "\"priority\":1,\"service\":\"svc-0\",\"max-attempts\":2}],"
        "\"services\":[{\"name\":\"svc-0\",\"health-path\":\"/health\","
        "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}",
        version, 1500 + version);
    return text;
}

/* Reads the configuration until it comes; returns whether it did, and was the
 * one with this version. */
static bool
read_back(int version, double seconds)
{
    double until = lab_now_s() + seconds;
    int tries = 0, last = 0;
    while (lab_now_s() < until) {
        static char body[65536];
        char want[32];
        last = lab_get_config(-1, body, sizeof body);
        tries++;
        snprintf(want, sizeof want, "{\"version\":%d,", version);
        if (last == 200) {
            lab_note("read back after %d tries: %.20s", tries, body);
            return strncmp(body, want, strlen(want)) == 0;
        }
        lab_sleep(0.5);
    }
    lab_note("not read back in %d tries at all nodes, the last one: %d", tries,
             last);
    return false;
}

void
run_case(void)
{
    lab_start_edges();
    lab_add_host("svc-0", 0);
    if (lab_put_config(config(4), 15) != 200) {
        lab_cannot("the first configuration is not acknowledged");
    }
    lab_sleep(3);
    lab_add_edge();
    lab_note("the successor has started");
    lab_sleep(CATCH_UP_S + 1.5);
    if (lab_put_config(config(9), 10) != 200) {
        lab_cannot("the second configuration is not acknowledged");
    }
    int leader = lab_find_leader();
    if (leader < 0) {
        lab_cannot("no control instance answers a read");
    }
    if (leader == LAB_EDGES) {
        lab_cannot("the successor leads already");
    }
    int other = (leader + 1) % LAB_EDGES;
    if (lab_trouble()) {
        lab_remove_edge(leader);
        lab_sleep(WIPE_AFTER_S);
        lab_wipe_control(other, DOWN_S);
    }
    lab_note("all machines are back");
    lab_sleep(RECOVERY_S);
    if (!read_back(9, WATCH_S)) {
        lab_broken("CONFIG",
                   "the acknowledged configuration does not come, "
                   "%.0f s after all machines are back",
                   RECOVERY_S + WATCH_S);
    }
    int status = lab_put_config(config(12), 5);
    lab_note("a further change: %d", status);
}
