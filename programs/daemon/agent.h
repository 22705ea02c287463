/* State of the agent role, and the functions that the agent*.c files provide
 * to each other. */
#ifndef AGENT_H
#define AGENT_H

#include "rp_agent.h"
#include "rp_daemon.h"
#include "rp_platform.h"
#include "rp_udp.h"
#include "rp_uplink.h"
#include "rp_timer.h"

struct agent_settings {
    struct rp_common_settings common;
    struct rp_name service;
    struct rp_endpoint listen;
    struct rp_endpoint host_listen;
    struct rp_endpoint host;
    struct rp_endpoint fabric;
    struct rp_endpoints controls;
    uint32_t slots;
    uint32_t lease_ms;
    uint32_t ramp_seconds;
    uint32_t drain_seconds;
    uint32_t control_port;
    uint32_t host_timeout_ms;
    uint32_t report_ms;
    GString *packets;
    struct rp_endpoint host_reports; /* port 0: the host sends no reports */
};

struct agent {
    struct agent_settings settings;
    struct rp_daemon daemon;
    struct rp_uplink *uplink;
    struct rp_udp *balancer_side;
    struct rp_udp *host_side;
    struct rp_chart chart;
    const struct rp_codec *codec;
    struct rp_platform *platform;
    struct rp_timer *timer;
    struct rp_host host; /* state of the host, from its own reports */
    enum rp_host_state host_state;
    int64_t started;        /* when this process started */
    int64_t cold_since;     /* without reports: when the host turned cold */
    bool evacuated;         /* the data centre, by the last table */
    struct rp_agent *flows; /* decides on the packets of flows */
    struct rp_actions actions;
    const struct rp_service *service; /* in the uplink's table; NULL until a
                                       * table has it */
    const uint8_t *received;          /* the packet being handled; NULL if
                                       * it is invalid */
    struct rp_flow_key received_flow; /* its flow, from the caller to the
                                       * service's address */
    uint64_t incarnation;
    uint64_t sequence;
    int64_t announce_deadline;
    int64_t drain_deadline; /* RP_NEVER unless the agent is stopping */
    bool draining;
    bool gone_announced; /* has announced that the upstream is gone */
};

/* agent.c: RunTimers runs the flow timers that are due and sends their
 * packets. Announce sends the state and load of this upstream to control. */
void RpAgentRole_RunTimers(struct agent *agent, int64_t now);
void RpAgentRole_Announce(struct agent *agent);

/* agent_host.c: receives the host's own reports over HTTP. Until the first one
 * the host's state is unknown. Does nothing if the host sends no reports.
 * False after printing the error. */
bool RpAgentHost_Open(struct agent *agent);

/* Updates the host's state from its reports and from the time since the last
 * one. */
void RpAgentHost_UpdateState(struct agent *agent, int64_t now);

/* agent_log.c: logs one line for each decision on a flow. Event returns the
 * log event for a decision, or NULL for ordinary forwarding. */
const char *RpAgentLog_Event(enum rp_counter reason);
void RpAgentLog_Action(struct agent *agent, const struct rp_action *action);
void RpAgentLog_Request(struct agent *agent, const struct rp_packet *packet);
void RpAgentLog_Answer(struct agent *agent, const struct rp_packet *packet);

#endif
