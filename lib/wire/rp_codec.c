/* The IPv4 packet format; rp_packet.c does the work. */
#include "rp_codec.h"

#include "rp_geneve.h"

static size_t
make_ipv4_reset(const struct rp_packet *packet, uint8_t out[RP_CODEC_SCRATCH])
{
    return RpPacket_MakeReset(packet, out);
}

static size_t
make_ipv4_segment(struct rp_flow_key key, uint8_t flags, uint32_t seq,
                  uint32_t ack, uint8_t out[RP_CODEC_SCRATCH])
{
    return RpPacket_MakeSegment(key, flags, seq, ack, out);
}

static const struct rp_codec_ops ipv4_ops = {
    .name = "ipv4",
    .protocol = RP_GENEVE_IPV4,
    .encapsulated = true,
    .parse = RpPacket_Parse,
    .make_reset = make_ipv4_reset,
    .make_segment = make_ipv4_segment,
    .trim_payload = RpPacket_TrimPayload};

const struct rp_codec rp_codec_ipv4 = {.ops = &ipv4_ops};
