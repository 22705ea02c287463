/* A route is moved from one service to another while two entry machines are
 * frozen. Flows that are opened through these machines as they wake go to the
 * service that had the route; their clients keep them open. */
#include "../lab-3/lab.h"

#include <signal.h>
#include <stdio.h>

#define ROUTE_IP "127.250.0.1"
#define ROUTE_PORT 8443
#define FLOWS 40
#define FREEZE_S 3.5
/* The SYNs are sent so long before the machines wake: less than the 1.4 s
 * after which a client gives up. */
#define SYN_BEFORE_S 1.0
#define FLOW_MAX_S 60.0
#define PAUSE_S 5.0 /* between the requests of a flow */

/* Seven of each service: with five entry machines 19 machines, as ob-sort has.
 */
#define HOSTS 7

static int hosts[2 * HOSTS];

/* Whether a host, or -1, is one of svc-0. */
static bool
is_former(int host)
{
    for (int i = 0; i < HOSTS; i++) {
        if (host >= 0 && host == hosts[i]) {
            return true;
        }
    }
    return false;
}

static const char *
config(int version, int service)
{
    static char text[2048];
    snprintf(text, sizeof text,
             "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
             "\"path-prefix\":\"/%d/\",\"route-type\":\"non_idempotent\","
             "\"timeout-ms\":1500,\"target-latency-ms\":300,\"priority\":1,"
             "\"service\":\"svc-%d\",\"max-attempts\":2}],\"services\":[{"
             "\"name\":\"svc-0\",\"health-path\":\"/health\",\"max-conns\":"
             "2000,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"svc-1\","
             "\"health-path\":\"/health\",\"max-conns\":2000,\"protocol\":"
             "\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
             "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
             "\"idle-timeout-ms\":15000}}",
             version, ROUTE_IP, ROUTE_PORT, service);
    return text;
}

static void
freeze(int sig)
{
    lab_signal("balancer of edge-z-a-2", lab_balancer_pid(LAB_FRONT_ONLY),
               sig);
    lab_signal("balancer of edge-z-a-3", lab_balancer_pid(LAB_FRONT_ONLY + 1),
               sig);
}

void
run_case(void)
{
    int flows[FLOWS], former = 0;
    bool reported[FLOWS] = {false};
    lab_start_edges();
    lab_start_fronts();
    for (int i = 0; i < 2 * HOSTS; i++) {
        hosts[i] = lab_add_host(i < HOSTS ? "svc-0" : "svc-1", i % LAB_EDGES);
    }
    if (lab_put_config(config(7, 0), 15) != 200) {
        lab_cannot("the first configuration is not acknowledged");
    }
    lab_sleep(6);
    if (lab_trouble()) {
        freeze(SIGSTOP);
    }
    double frozen_at = lab_now_s();
    lab_sleep(0.2);
    if (lab_put_config(config(9, 1), 3) != 200) {
        lab_cannot("the move is not acknowledged");
    }
    lab_sleep(frozen_at + FREEZE_S - SYN_BEFORE_S - lab_now_s());
    for (int i = 0; i < FLOWS; i++) {
        flows[i] = lab_open_flow(ROUTE_IP, ROUTE_PORT, 0);
    }
    lab_sleep(frozen_at + FREEZE_S - lab_now_s());
    double opened_at = lab_now_s();
    if (lab_trouble()) {
        freeze(SIGCONT);
    }
    lab_sleep(0.3);
    for (int i = 0; i < FLOWS; i++) {
        int host = lab_flow_host(flows[i]);
        former += is_former(host);
    }
    lab_note("%d of %d flows are open at a host of svc-0", former, FLOWS);
    if (lab_trouble() && former == 0) {
        lab_cannot("no flow was opened at a host of svc-0");
    }
    /* The last requests are sent when the flows are a little younger than
     * flow-max-s. */
    double age = 1;
    while (age < FLOW_MAX_S - 0.3) {
        lab_sleep(opened_at + age - lab_now_s());
        for (int i = 0; i < FLOWS; i++) {
            if (lab_flow_state(flows[i]) == LAB_FLOW_OPEN) {
                lab_send_request(flows[i], "POST");
            }
        }
        lab_sleep(0.15);
        for (int i = 0; i < FLOWS; i++) {
            int host = lab_flow_host(flows[i]);
            if (lab_flow_state(flows[i]) != LAB_FLOW_RESET || reported[i] ||
                !is_former(host)) {
                continue;
            }
            reported[i] = true;
            lab_broken("FLOW",
                       "flow %d, %.1f s old, got a reset that its host, which "
                       "still holds it, did not send",
                       i, lab_now_s() - opened_at);
        }
        age += age < FLOW_MAX_S - 8 ? PAUSE_S : 0.25;
    }
}
