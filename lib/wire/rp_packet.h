/* Inner packets: parses and writes the IPv4 and TCP headers of the packets of
 * callers and hosts.
 *
 * Only these headers are parsed, with bounds checks. Checksums are not
 * verified, since the ends of the flow do that; packets that are made here
 * carry correct checksums.
 */
#ifndef RP_PACKET_H
#define RP_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_counters.h"
#include "rp_endpoint.h"

#define RP_PACKET_MAX 9216 /* bytes of one inner packet */
#define RP_RESET_SIZE 40   /* bytes; IPv4 and TCP header without options */

/* TCP flag bits. */
#define RP_TCP_FIN 0x01
#define RP_TCP_SYN 0x02
#define RP_TCP_RST 0x04
#define RP_TCP_PSH 0x08
#define RP_TCP_ACK 0x10

/* Source and destination of a packet, in host byte order. */
struct rp_flow_key {
    uint32_t src_ip;
    uint32_t dst_ip;
    uint16_t src_port;
    uint16_t dst_port;
};

/* A parsed packet. `data` is borrowed and holds `len` bytes. */
struct rp_packet {
    const uint8_t *data;
    size_t len;
    struct rp_flow_key key;
    uint32_t seq;
    uint32_t ack;
    uint32_t payload_len;
    uint16_t header_len; /* bytes of the IPv4 and TCP headers together */
    uint16_t window;
    uint8_t flags;
    /* How many times the caller has sent this SYN before; 0 in formats
     * without this field. */
    uint32_t syn_retransmits;
    /* Time since the caller sent this SYN first, in microseconds; 0 in
     * formats without this field. */
    uint32_t waited_us;
    /* The host returned this packet of a caller, because it refuses the SYN
     * or does not have the flow. `key` is the caller's: its source is the
     * caller. */
    bool returned;
};

/* Parses the headers of the `len` bytes at `data`, which `packet` borrows. If
 * they are invalid, returns false and sets `*reason` to the drop counter. */
bool RpPacket_Parse(const uint8_t *data, size_t len, struct rp_packet *packet,
                    enum rp_counter *reason);

/* Returns the key with source and destination swapped. */
struct rp_flow_key RpFlowKey_Reverse(struct rp_flow_key key);

static inline bool
RpFlowKey_Equal(struct rp_flow_key a, struct rp_flow_key b)
{
    return a.src_ip == b.src_ip && a.dst_ip == b.dst_ip &&
           a.src_port == b.src_port && a.dst_port == b.dst_port;
}

/* Hash and equality functions for a GHashTable with `struct rp_flow_key`
 * keys. */
unsigned RpFlowKey_Hash(const void *key);
int RpFlowKey_EqualKeys(const void *a, const void *b);

/* Return the source and the destination of a key. */
static inline struct rp_endpoint
RpFlowKey_Source(struct rp_flow_key key)
{
    return (struct rp_endpoint){.ip = key.src_ip, .port = key.src_port};
}

static inline struct rp_endpoint
RpFlowKey_Destination(struct rp_flow_key key)
{
    return (struct rp_endpoint){.ip = key.dst_ip, .port = key.dst_port};
}

/* Returns whether a packet opens a flow, that is, is a SYN without an ACK. */
static inline bool
RpPacket_Opens(const struct rp_packet *packet)
{
    return (packet->flags & RP_TCP_SYN) && !(packet->flags & RP_TCP_ACK);
}

/* Copies `packet` into `out` (at least header_len bytes) without its
 * payload, with correct lengths and checksums. Returns its new size in
 * bytes. */
size_t RpPacket_TrimPayload(const struct rp_packet *packet, uint8_t *out);

/* Writes a segment without TCP options and payload, from the source to the
 * destination of `key`. Returns its size in bytes, RP_RESET_SIZE. */
size_t RpPacket_MakeSegment(struct rp_flow_key key, uint8_t flags,
                            uint32_t seq, uint32_t ack,
                            uint8_t out[RP_RESET_SIZE]);

/* Writes the reset that answers `packet` as RFC 9293 section 3.10.7.1
 * requires for a connection that does not exist. Returns its size in bytes,
 * RP_RESET_SIZE. */
size_t RpPacket_MakeReset(const struct rp_packet *packet,
                          uint8_t out[RP_RESET_SIZE]);

/* Returns the signed distance from sequence number `from` to `to`, modulo
 * 2^32: negative if `to` comes first. */
static inline int32_t
RpSeq_Distance(uint32_t from, uint32_t to)
{
    return (int32_t)(to - from);
}

#endif
