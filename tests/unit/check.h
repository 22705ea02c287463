/* Shared by the unit tests: cmocka with the headers that it requires, and test
 * packets. */
#ifndef CHECK_H
#define CHECK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "rp_packet.h"

#define TEST_PACKET_MAX 2048 /* bytes */

/* A parsed packet and the bytes that it refers to. */
struct test_packet {
    struct rp_packet packet;
    uint8_t bytes[TEST_PACKET_MAX];
};

/* Builds a TCP segment with `payload_len` bytes of payload in `out` and parses
 * it. Fails the test if it exceeds TEST_PACKET_MAX bytes or does not parse. */
void make_test_packet(struct test_packet *out, struct rp_flow_key key,
                      uint8_t flags, uint32_t seq, uint32_t ack,
                      size_t payload_len);

#endif
