/* Stand-ins for the platform of radishport's users, for the scripts of the
 * third review: machines with their settings, the router, hosts, clients and
 * the operator. They do what the page PROTOCOL says.
 *
 * A case includes this file, implements run_case() and calls the functions
 * below. Everything runs on loopback addresses and the real clock. */
#ifndef LAB_H
#define LAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_MAX_HOSTS 24
#define LAB_MAX_FLOWS 4096
#define LAB_EDGES 3 /* started at first, one in each zone */
/* With one that may be added later, in the last zone, and two in the first
 * zone that have a balancer only. */
#define LAB_EDGES_MAX 6
#define LAB_FRONT_ONLY 4 /* the first of those two */

/* --- records --- */
/* Writes one line with the time since the start to record.txt. */
void lab_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
double lab_now_s(void);
void lab_sleep(double seconds);
/* Whether the disruption is to happen: false with TROUBLE=0. */
bool lab_trouble(void);
/* Ends the run: the case could not be run as planned (exit 2). */
void lab_cannot(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));
/* Records that a rule was broken; the run ends with 1. */
void lab_broken(const char *rule, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* --- machines of the system --- */
/* Three edge machines in zones a, b, c, each with control and balancer. */
void lab_start_edges(void);
void lab_start_control(int edge, bool bootstrap);
void lab_start_balancer(int edge);
/* Adds two edge machines without control in the first zone. */
void lab_start_fronts(void);
/* Adds the fourth edge machine, with an empty disk. */
void lab_add_edge(void);
/* Removes an edge machine for good, without SIGTERM. */
void lab_remove_edge(int edge);
/* Kills control on an edge machine; it is back after `down_s` at its address
 * with an empty disk. */
void lab_wipe_control(int edge, double down_s);
/* The edge machine whose control answers a read itself, or -1. */
int lab_find_leader(void);
pid_t lab_control_pid(int edge);
pid_t lab_balancer_pid(int edge);
/* Waits until an edge machine has just answered a readiness probe. */
void lab_wait_probe(int edge);
/* Sends a signal and waits for the end if it ends the process. */
void lab_signal(const char *what, pid_t pid, int sig);
/* SIGTERM, and SIGKILL after grace-s; then starts the process again. */
void lab_restart_control(int edge);
void lab_restart_balancer(int edge);
void lab_restart_agent(int host);
/* Kills a process and starts it again after `down_s`. */
void lab_kill_agent(int host, double down_s);

/* --- hosts --- */
/* Adds a side machine in a zone (0..2) with its agent and its host. */
int lab_add_host(const char *service, int zone);
/* The first call of each host that is added from now on is held on its way;
 * the host waits a second for the answer and then calls again. */
void lab_hold_first_calls(bool hold);
/* Delivers that call. Returns the status. */
int lab_deliver_held_call(int host);
/* Waits until a call of the host has just been acknowledged. */
void lab_wait_beat(int host);
void lab_start_agent(int host);
/* A host that ends: it drains, is acknowledged, serves on for `serve_s`,
 * deregisters and exits; then its agent gets SIGTERM. */
void lab_drain_host(int host);
void lab_end_host(int host);
bool lab_host_beats_acked(int host);
int lab_requests_run(int host);
/* Answers per flow: how many bytes, after how long. */
void lab_set_answer(int work_ms, int bytes);

/* --- the operator --- */
/* Sends a configuration until it is acknowledged. Returns the status, or 0
 * if there was no acknowledgement within `seconds`. */
int lab_put_config(const char *json, double seconds);
/* Reads the configuration at edge `edge` (-1: any). Returns the status. */
int lab_get_config(int edge, char *out, size_t size);

/* --- clients --- */
enum lab_flow_state {
    LAB_FLOW_OPENING,
    LAB_FLOW_OPEN,
    LAB_FLOW_REFUSED,    /* reset or no answer before it opened */
    LAB_FLOW_RESET,      /* a reset of the system's own after it opened */
    LAB_FLOW_HOST_RESET, /* a reset that its host sent */
    LAB_FLOW_CLOSED
};
/* Opens a flow to a route; returns its number at once. */
int lab_open_flow(const char *route_ip, uint16_t route_port, int zone);
/* The same, from a port whose packets the router gives to this edge machine
 * while all of the zone's are in rotation. */
int lab_open_flow_through(int edge, const char *route_ip, uint16_t route_port);
enum lab_flow_state lab_flow_state(int flow);
/* Waits until the flow is open or has ended. */
bool lab_wait_open(int flow, double seconds);
/* Sends one request on an open flow; returns false if one is outstanding. */
bool lab_send_request(int flow, const char *method);
/* Whether the flow's last request is answered in full. */
bool lab_answered(int flow);
bool lab_wait_answered(int flow, double seconds);
/* The host that the flow is open at (by its sequence number), or -1. */
int lab_flow_host(int flow);
/* Seconds since the start at which the flow was reset. */
double lab_reset_at(int flow);

/* Implemented by the case. */
void run_case(void);

#endif
