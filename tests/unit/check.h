/* What the unit tests share: cmocka with its required headers, and packets
 * made for tests. */
#ifndef CHECK_H
#define CHECK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "rp_packet.h"

#define TEST_PACKET_MAX 2048

/* A packet with its bytes. */
struct test_packet {
    struct rp_packet packet;
    uint8_t bytes[TEST_PACKET_MAX];
};

/* Makes a segment with `payload_len` bytes of payload. */
void make_test_packet(struct test_packet *out, struct rp_flow_key key,
                      uint8_t flags, uint32_t seq, uint32_t ack,
                      size_t payload_len);

#endif
