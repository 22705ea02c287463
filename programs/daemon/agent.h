/* The agent role's own parts, shared by the agent*.c files. */
#ifndef AGENT_H
#define AGENT_H

#include "rp_agent.h"
#include "rp_daemon.h"
#include "rp_platform.h"
#include "rp_udp.h"
#include "rp_uplink.h"
#include "rp_wake.h"

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
    uint32_t patience_ms;
    uint32_t report_ms;
    GString *packets;
    struct rp_endpoint host_reports; /* port 0: the host does not report */
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
    struct rp_wake *wake;
    struct rp_host host; /* as it reports itself */
    enum rp_host_state host_state;
    int64_t started_ms; /* by the time of day, in Unix milliseconds */
    struct rp_agent *flows;
    struct rp_actions actions;
    const struct rp_service *service; /* in the uplink's table, or NULL */
    const uint8_t *received;          /* the packet being handled */
    struct rp_flow_key received_flow; /* its flow, as the caller names it */
    uint64_t incarnation;
    uint64_t sequence;
    int64_t announce_deadline;
    int64_t drain_deadline; /* RP_NEVER while the agent is not stopping */
    bool draining;
    bool leaving; /* has said goodbye */
};

/* agent.c: sends what is due, and tells control of this upstream. */
void RpAgentRole_RunTimers(struct agent *agent, int64_t now);
void RpAgentRole_Announce(struct agent *agent);

/* agent_host.c: a host that reports itself. Serves its reports; until the
 * first one the host is unknown. */
bool RpAgentHost_Open(struct agent *agent);

/* What follows from all that the host has said so far, and from how long ago
 * that was. */
void RpAgentHost_Review(struct agent *agent, int64_t now);

/* agent_log.c: one line for each decision on a flow. The event under which a
 * decision is logged, or NULL for ordinary forwarding. */
const char *RpAgentLog_Event(enum rp_counter reason);
void RpAgentLog_Action(struct agent *agent, const struct rp_action *action);
void RpAgentLog_Request(struct agent *agent, const struct rp_packet *packet);
void RpAgentLog_Answer(struct agent *agent, const struct rp_packet *packet);

#endif
