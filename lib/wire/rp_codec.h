/* Packet formats: how packets of flows are encoded on the wire.
 *
 * The code that routes and tracks flows works on `struct rp_packet`, which is
 * the same for all formats. A format is a vtable. The built-in format is IPv4
 * with TCP inside Geneve; a platform adapter can add others.
 */
#ifndef RP_CODEC_H
#define RP_CODEC_H

#include "rp_packet.h"

/* Size in bytes of a buffer that holds any packet made by a codec. */
#define RP_CODEC_SCRATCH 128

struct rp_codec;

struct rp_codec_ops {
    const char *name;
    /* Geneve protocol type of inner packets of this format. */
    uint16_t protocol;
    /* Whether packets to and from the fabric and the host are encapsulated in
     * Geneve. If not, they are sent bare, and packets for a caller go to the
     * address of the caller. */
    bool encapsulated;
    /* Whether a SYN says how often it was sent before. */
    bool numbers_copies;
    /* Parses a packet; `packet` borrows `data`. If the packet is invalid,
     * returns false and sets `*reason` to the drop counter. */
    bool (*parse)(const uint8_t *data, size_t len, struct rp_packet *packet,
                  enum rp_counter *reason);
    /* Returns the caller's endpoint from a bare packet to a caller. NULL if
     * packets are encapsulated: then the fabric routes them to the caller. */
    struct rp_endpoint (*destination)(const uint8_t *data);
    /* Returns whether the host returned this packet of a caller, and clears
     * the mark that says so, so that the packet can be sent to another host.
     * NULL if hosts refuse packets with a reset instead. */
    bool (*clear_returned_mark)(uint8_t *data, size_t len);
    /* Returns the caller's id of the request that begins in this packet, for
     * the log; empty if it has none. The result points into the packet. NULL
     * if the format has no request ids. */
    struct rp_str (*request_id)(const struct rp_packet *packet);
    /* Writes the reset that answers a caller's packet; returns its size in
     * bytes. */
    size_t (*make_reset)(const struct rp_packet *packet,
                         uint8_t out[RP_CODEC_SCRATCH]);
    /* Writes a segment without payload; returns its size in bytes. NULL if
     * segments cannot be forged, because each end accepts only bytes that the
     * other end has written. */
    size_t (*make_segment)(struct rp_flow_key key, uint8_t flags, uint32_t seq,
                           uint32_t ack, uint8_t out[RP_CODEC_SCRATCH]);
    /* Copies a packet without its payload; returns the size of the copy in
     * bytes. NULL if packets must not be changed. */
    size_t (*trim_payload)(const struct rp_packet *packet, uint8_t *out);
};

/* A packet format. */
struct rp_codec {
    const struct rp_codec_ops *ops;
};

/* The built-in format: IPv4 with TCP inside Geneve. */
extern const struct rp_codec rp_codec_ipv4;

#endif
