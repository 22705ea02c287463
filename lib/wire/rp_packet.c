/* Parses and writes IPv4 and TCP headers. */
#include "rp_packet.h"

#include <string.h>

#include "rp_bytes.h"

#define IP_HEADER_MIN 20
#define TCP_HEADER_MIN 20
#define IP_PROTOCOL_TCP 6
#define IP_FLAG_MORE_FRAGMENTS 0x2000
#define IP_FLAG_DONT_FRAGMENT 0x4000
#define IP_FRAGMENT_OFFSET_MASK 0x1fff
#define IP_TTL 64

/* Parses the IPv4 header and sets `*len` to the packet's total length.
 * Returns the size of the header, or 0 with `*reason` set. */
static size_t
parse_ipv4_header(const uint8_t *data, size_t *len, struct rp_packet *packet,
                  enum rp_counter *reason)
{
    if (*len < IP_HEADER_MIN) {
        *reason = RP_COUNT_DROP_SHORT;
        return 0;
    }
    size_t header = (size_t)(data[0] & 15) * 4;
    size_t total = RpBytes_Get16(data + 2);
    if (data[0] >> 4 != 4 || header < IP_HEADER_MIN || total < header ||
        total > *len) {
        *reason = RP_COUNT_DROP_BAD_IP;
        return 0;
    }
    uint16_t fragment = RpBytes_Get16(data + 6);
    if (fragment & (IP_FLAG_MORE_FRAGMENTS | IP_FRAGMENT_OFFSET_MASK)) {
        *reason = RP_COUNT_DROP_FRAGMENT;
        return 0;
    }
    if (data[9] != IP_PROTOCOL_TCP) {
        *reason = RP_COUNT_DROP_BAD_TRANSPORT;
        return 0;
    }
    packet->key.src_ip = RpBytes_Get32(data + 12);
    packet->key.dst_ip = RpBytes_Get32(data + 16);
    *len = total;
    return header;
}

/* Returns whether no TCP implementation sends this combination of flags. */
static bool
has_invalid_flags(uint8_t flags)
{
    if (flags & RP_TCP_SYN) {
        return flags & (RP_TCP_FIN | RP_TCP_RST);
    }
    return !(flags & (RP_TCP_ACK | RP_TCP_RST));
}

bool
RpPacket_Parse(const uint8_t *data, size_t len, struct rp_packet *packet,
               enum rp_counter *reason)
{
    memset(packet, 0, sizeof *packet);
    if (len > RP_PACKET_MAX) {
        *reason = RP_COUNT_DROP_OVERSIZED;
        return false;
    }
    size_t ip_header = parse_ipv4_header(data, &len, packet, reason);
    if (ip_header == 0) {
        return false;
    }
    const uint8_t *tcp = data + ip_header;
    size_t tcp_len = len - ip_header;
    if (tcp_len < TCP_HEADER_MIN) {
        *reason = RP_COUNT_DROP_BAD_TRANSPORT;
        return false;
    }
    size_t tcp_header = (size_t)(tcp[12] >> 4) * 4;
    if (tcp_header < TCP_HEADER_MIN || tcp_header > tcp_len ||
        has_invalid_flags(tcp[13])) {
        *reason = RP_COUNT_DROP_BAD_TRANSPORT;
        return false;
    }
    packet->data = data;
    packet->len = len;
    packet->key.src_port = RpBytes_Get16(tcp);
    packet->key.dst_port = RpBytes_Get16(tcp + 2);
    packet->seq = RpBytes_Get32(tcp + 4);
    packet->ack = RpBytes_Get32(tcp + 8);
    packet->flags = tcp[13];
    packet->window = RpBytes_Get16(tcp + 14);
    packet->header_len = (uint16_t)(ip_header + tcp_header);
    packet->payload_len = (uint32_t)(len - packet->header_len);
    return true;
}

struct rp_flow_key
RpFlowKey_Reverse(struct rp_flow_key key)
{
    return (struct rp_flow_key){.src_ip = key.dst_ip,
                                .dst_ip = key.src_ip,
                                .src_port = key.dst_port,
                                .dst_port = key.src_port};
}

unsigned
RpFlowKey_Hash(const void *key)
{
    const struct rp_flow_key *flow = key;
    uint64_t x = (uint64_t)flow->src_ip << 32 | flow->dst_ip;

    x ^= ((uint64_t)flow->src_port << 16 | flow->dst_port) *
         UINT64_C(0x9e3779b97f4a7c15);
    x *= UINT64_C(0xd6e8feb86659fd93);
    return (unsigned)(x >> 32);
}

int
RpFlowKey_EqualKeys(const void *a, const void *b)
{
    return RpFlowKey_Equal(*(const struct rp_flow_key *)a,
                           *(const struct rp_flow_key *)b);
}

/* Adds `len` bytes to a one's complement checksum. */
static uint32_t
add_to_checksum(uint32_t sum, const uint8_t *data, size_t len)
{
    size_t i = 0;

    for (; i + 1 < len; i += 2) {
        sum += RpBytes_Get16(data + i);
    }
    if (i < len) {
        sum += (uint32_t)data[i] << 8;
    }
    return sum;
}

/* Returns the checksum field for a one's complement sum. */
static uint16_t
finish_checksum(uint32_t sum)
{
    while (sum >> 16) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return (uint16_t)~sum;
}

/* Writes the IPv4 and TCP checksums of a packet of `len` bytes. */
static void
write_checksums(uint8_t *data, size_t ip_header, size_t len)
{
    uint8_t *tcp = data + ip_header;
    size_t tcp_len = len - ip_header;

    RpBytes_Put16(data + 10, 0);
    RpBytes_Put16(data + 10,
                  finish_checksum(add_to_checksum(0, data, ip_header)));
    uint32_t pseudo = add_to_checksum(0, data + 12, 8);
    pseudo += IP_PROTOCOL_TCP + (uint32_t)tcp_len;
    RpBytes_Put16(tcp + 16, 0);
    RpBytes_Put16(tcp + 16,
                  finish_checksum(add_to_checksum(pseudo, tcp, tcp_len)));
}

size_t
RpPacket_TrimPayload(const struct rp_packet *packet, uint8_t *out)
{
    size_t len = packet->header_len;
    size_t ip_header = (size_t)(packet->data[0] & 15) * 4;

    memcpy(out, packet->data, len);
    RpBytes_Put16(out + 2, (uint16_t)len);
    write_checksums(out, ip_header, len);
    return len;
}

size_t
RpPacket_MakeSegment(struct rp_flow_key key, uint8_t flags, uint32_t seq,
                     uint32_t ack, uint8_t out[RP_RESET_SIZE])
{
    uint8_t *tcp = out + IP_HEADER_MIN;

    memset(out, 0, RP_RESET_SIZE);
    out[0] = 0x45;
    RpBytes_Put16(out + 2, RP_RESET_SIZE);
    RpBytes_Put16(out + 6, IP_FLAG_DONT_FRAGMENT);
    out[8] = IP_TTL;
    out[9] = IP_PROTOCOL_TCP;
    RpBytes_Put32(out + 12, key.src_ip);
    RpBytes_Put32(out + 16, key.dst_ip);
    RpBytes_Put16(tcp, key.src_port);
    RpBytes_Put16(tcp + 2, key.dst_port);
    RpBytes_Put32(tcp + 4, seq);
    RpBytes_Put32(tcp + 8, ack);
    tcp[12] = (TCP_HEADER_MIN / 4) << 4;
    tcp[13] = flags;
    write_checksums(out, IP_HEADER_MIN, RP_RESET_SIZE);
    return RP_RESET_SIZE;
}

size_t
RpPacket_MakeReset(const struct rp_packet *packet, uint8_t out[RP_RESET_SIZE])
{
    struct rp_flow_key key = RpFlowKey_Reverse(packet->key);

    if (packet->flags & RP_TCP_ACK) {
        return RpPacket_MakeSegment(key, RP_TCP_RST, packet->ack, 0, out);
    }
    uint32_t length = packet->payload_len;
    length += (packet->flags & RP_TCP_SYN) ? 1 : 0;
    length += (packet->flags & RP_TCP_FIN) ? 1 : 0;
    return RpPacket_MakeSegment(key, RP_TCP_RST | RP_TCP_ACK, 0,
                                packet->seq + length, out);
}
