/* The link format between fabric, balancers, agents and hosts: Geneve over
 * UDP (RFC 8926) around one inner IPv4 packet.
 *
 * Two options of the experimental class carry what the balancer decided:
 *
 * - service (critical, 16 bytes): id, incarnation and table generation of
 *   the service the packet is meant for;
 * - chain (critical, 4 + 8 * n bytes): the candidate agents in order, how
 *   many of them have seen the packet already, and, for a new flow, which
 *   of those was the least busy.
 *
 * Options of other classes are skipped unless they are marked critical.
 */
#ifndef RP_GENEVE_H
#define RP_GENEVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_counters.h"
#include "rp_endpoint.h"

#define RP_GENEVE_IPV4 0x0800  /* protocol type of an inner IPv4 packet */
#define RP_MAX_CHAIN 15        /* candidates that fit into one option */
#define RP_GENEVE_HEADER 8     /* bytes */
#define RP_GENEVE_HEADROOM 160 /* bytes that any header here fits into */
#define RP_DATAGRAM_MAX (9216 + RP_GENEVE_HEADROOM) /* bytes */

/* Which service, in which of its lives, by which table. */
struct rp_service_tag {
    uint32_t service_id;
    uint32_t incarnation;
    uint64_t generation;
};

#define RP_CHAIN_NO_UTILISATION 255 /* no candidate has told its load yet */

/* Candidate agents; the first `visited` of `count` have seen the packet.
 * Of those that passed a new flow on, hop[best] was the least busy, with
 * `lowest_utilisation` (see rp_admission.h). `forced` tells the receiver that
 * all others are busier. */
struct rp_chain {
    uint8_t count;
    uint8_t visited;
    uint8_t best;
    uint8_t lowest_utilisation;
    bool forced;
    struct rp_endpoint hop[RP_MAX_CHAIN];
};

/* A read datagram; `inner` is borrowed. */
struct rp_geneve {
    bool has_tag;
    bool has_chain;
    struct rp_service_tag tag;
    struct rp_chain chain;
    const uint8_t *inner;
    size_t inner_len;
};

/* Reads a datagram whose inner packet must have the format `protocol`. On
 * failure `*reason` says which drop counter fits. */
bool RpGeneve_Parse(const uint8_t *data, size_t len, uint16_t protocol,
                    struct rp_geneve *out, enum rp_counter *reason);

/* Writes a header for an inner packet of that format; NULL leaves an option
 * out. Returns its size, at most RP_GENEVE_HEADROOM. */
size_t RpGeneve_Write(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                      const struct rp_service_tag *tag,
                      const struct rp_chain *chain);

/* Whether `endpoint` is among the chain's candidates. */
bool RpChain_Contains(const struct rp_chain *chain,
                      struct rp_endpoint endpoint);

/* Adds a candidate at the end; false if the chain is full. */
bool RpChain_Append(struct rp_chain *chain, struct rp_endpoint endpoint);

#endif
