/* Inner packets: the IPv4 and TCP headers of what callers and hosts send.
 *
 * Only these headers are read, bounds-checked; what cannot be read is
 * refused with the counter that names the reason. Checksums are not
 * verified (the ends do that); packets made here carry correct ones.
 */
#ifndef RP_PACKET_H
#define RP_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_counters.h"
#include "rp_endpoint.h"

#define RP_PACKET_MAX 9216 /* bytes of one inner packet */
#define RP_RESET_SIZE 40   /* bytes of a packet made by RpPacket_MakeReset */

/* TCP flag bits. */
#define RP_TCP_FIN 0x01
#define RP_TCP_SYN 0x02
#define RP_TCP_RST 0x04
#define RP_TCP_PSH 0x08
#define RP_TCP_ACK 0x10

/* The two ends of a flow as one packet names them (host byte order). */
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
    uint16_t header_len; /* IPv4 and TCP headers together */
    uint16_t window;
    uint8_t flags;
    /* How often the caller had sent this SYN before; only some formats say
     * it, 0 elsewhere. */
    uint32_t copy;
    /* How long ago the caller sent the first of these SYNs, in microseconds;
     * 0 where the format does not say it. */
    uint32_t waited_us;
    /* The host gave the packet back: it refuses the SYN, or does not hold
     * the flow. The key is that of the packet's sender. */
    bool returned;
};

/* Reads the headers. On failure `*reason` says which drop counter fits. */
bool RpPacket_Parse(const uint8_t *data, size_t len, struct rp_packet *packet,
                    enum rp_counter *reason);

/* The same flow seen from its other end. */
struct rp_flow_key RpFlowKey_Reverse(struct rp_flow_key key);

static inline bool
RpFlowKey_Equal(struct rp_flow_key a, struct rp_flow_key b)
{
    return a.src_ip == b.src_ip && a.dst_ip == b.dst_ip &&
           a.src_port == b.src_port && a.dst_port == b.dst_port;
}

/* The two functions that a GHashTable with `struct rp_flow_key` keys
 * wants. */
unsigned RpFlowKey_Hash(const void *key);
int RpFlowKey_EqualKeys(const void *a, const void *b);

/* The two ends. */
static inline struct rp_endpoint
RpFlowKey_Source(struct rp_flow_key key)
{
    return (struct rp_endpoint){.ip = key.src_ip, .port = key.src_port};
}

static inline struct rp_endpoint
RpFlowKey_Target(struct rp_flow_key key)
{
    return (struct rp_endpoint){.ip = key.dst_ip, .port = key.dst_port};
}

/* Whether a packet asks to open a flow. */
static inline bool
RpPacket_Opens(const struct rp_packet *packet)
{
    return (packet->flags & RP_TCP_SYN) && !(packet->flags & RP_TCP_ACK);
}

/* Copies `packet` into `out` (at least header_len bytes) without its
 * payload and with correct lengths and checksums; returns the new size. */
size_t RpPacket_TrimPayload(const struct rp_packet *packet, uint8_t *out);

/* Makes a bare segment (no options, no payload) from `key.src` to
 * `key.dst`. Returns RP_RESET_SIZE, the bytes written to `out`. */
size_t RpPacket_MakeSegment(struct rp_flow_key key, uint8_t flags,
                            uint32_t seq, uint32_t ack,
                            uint8_t out[RP_RESET_SIZE]);

/* Makes the reset that answers `packet` as RFC 9293 section 3.10.7.1 asks
 * for a connection that does not exist. */
size_t RpPacket_MakeReset(const struct rp_packet *packet,
                          uint8_t out[RP_RESET_SIZE]);

/* Signed distance from sequence number `from` to `to`. */
static inline int32_t
RpSeq_Distance(uint32_t from, uint32_t to)
{
    return (int32_t)(to - from);
}

#endif
