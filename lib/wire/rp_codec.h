/* Packet formats: how the packets of flows are written towards callers and
 * hosts.
 *
 * Everything that decides about flows works on `struct rp_packet`, which is
 * the same for every format. A format is a small vtable; the product's own
 * one is IPv4 with TCP inside Geneve, others may be added by an adapter.
 */
#ifndef RP_CODEC_H
#define RP_CODEC_H

#include "rp_packet.h"

#define RP_CODEC_SCRATCH 128 /* bytes that any packet made here fits into */

struct rp_codec;

struct rp_codec_ops {
    const char *name;
    /* The protocol type that marks the format inside Geneve. */
    uint16_t protocol;
    /* Whether fabric and host take packets inside Geneve; else bare, and
     * packets for a caller go to the caller's own address. */
    bool framed;
    /* Reads a packet. On failure `*reason` says which drop counter fits. */
    bool (*parse)(const uint8_t *data, size_t len, struct rp_packet *packet,
                  enum rp_counter *reason);
    /* The caller that a bare packet is meant for. NULL where the format is
     * framed: the fabric finds the caller. */
    struct rp_endpoint (*target)(const uint8_t *data);
    /* Whether the host gave this packet of a caller back; if so it is made
     * good for another host. NULL where hosts answer with a reset. */
    bool (*take_back)(uint8_t *data, size_t len);
    /* The id that a caller gave the request whose first bytes these are, for
     * the log; empty if there is none. NULL where formats have none. */
    struct rp_str (*request_id)(const struct rp_packet *packet);
    /* Makes the reset that answers a caller's packet; returns its size. */
    size_t (*make_reset)(const struct rp_packet *packet,
                         uint8_t out[RP_CODEC_SCRATCH]);
    /* Makes a bare segment; returns its size. NULL where the ends take
     * nothing that the other end has not written itself. */
    size_t (*make_segment)(struct rp_flow_key key, uint8_t flags, uint32_t seq,
                           uint32_t ack, uint8_t out[RP_CODEC_SCRATCH]);
    /* Copies a packet without its payload; returns its size. NULL where
     * packets cannot be changed. */
    size_t (*trim_payload)(const struct rp_packet *packet, uint8_t *out);
};

/* A format; the vtable is all there is to it. */
struct rp_codec {
    const struct rp_codec_ops *ops;
};

/* IPv4 with TCP inside Geneve. */
extern const struct rp_codec rp_codec_ipv4;

#endif
