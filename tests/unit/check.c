/* Test packets. */
#include "check.h"

#include <string.h>

#include "rp_bytes.h"

void
make_test_packet(struct test_packet *out, struct rp_flow_key key,
                 uint8_t flags, uint32_t seq, uint32_t ack, size_t payload_len)
{
    enum rp_counter reason;
    size_t len = RpPacket_MakeSegment(key, flags, seq, ack, out->bytes);

    assert_true(len + payload_len <= TEST_PACKET_MAX);
    memset(out->bytes + len, 'x', payload_len);
    len += payload_len;
    RpBytes_Put16(out->bytes + 2, (uint16_t)len);
    assert_true(RpPacket_Parse(out->bytes, len, &out->packet, &reason));
}
