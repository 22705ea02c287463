/* IPv4 address and port, in host byte order. */
#ifndef RP_ENDPOINT_H
#define RP_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_str.h"

#define RP_ENDPOINT_TEXT_MAX 24 /* bytes of "255.255.255.255:65535", NUL */

struct rp_endpoint {
    uint32_t ip;
    uint16_t port;
};

/* Parses dotted-quad text. */
bool RpIp_Parse(struct rp_str text, uint32_t *ip);

/* Writes the dotted-quad form and returns `out`. */
const char *RpIp_Format(uint32_t ip, char out[RP_ENDPOINT_TEXT_MAX]);

/* Parses "a.b.c.d:port"; port 0 is not accepted. */
bool RpEndpoint_Parse(struct rp_str text, struct rp_endpoint *endpoint);

/* Writes "a.b.c.d:port" and returns `out`. */
const char *RpEndpoint_Format(struct rp_endpoint endpoint,
                              char out[RP_ENDPOINT_TEXT_MAX]);

/* The endpoint as one number, for hash tables with 64-bit keys. */
uint64_t RpEndpoint_Key(struct rp_endpoint endpoint);

bool RpEndpoint_Equal(struct rp_endpoint a, struct rp_endpoint b);

#endif
