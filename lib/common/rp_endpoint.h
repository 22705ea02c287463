/* IPv4 addresses and endpoints (address and port), in host byte order. */
#ifndef RP_ENDPOINT_H
#define RP_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_str.h"

#define RP_ENDPOINT_TEXT_MAX 24 /* bytes for "255.255.255.255:65535", NUL */

struct rp_endpoint {
    uint32_t ip;
    uint16_t port;
};

/* Parses "a.b.c.d"; returns false if `text` is not such an address. */
bool RpIp_Parse(struct rp_str text, uint32_t *ip);

/* Writes "a.b.c.d" to `out` and returns `out`. */
const char *RpIp_Format(uint32_t ip, char out[RP_ENDPOINT_TEXT_MAX]);

/* Parses "a.b.c.d:port" with a port from 1 to 65535; returns false if `text`
 * is not such an endpoint. */
bool RpEndpoint_Parse(struct rp_str text, struct rp_endpoint *endpoint);

/* Writes "a.b.c.d:port" to `out` and returns `out`. */
const char *RpEndpoint_Format(struct rp_endpoint endpoint,
                              char out[RP_ENDPOINT_TEXT_MAX]);

/* Returns the endpoint as one number, for hash tables with 64-bit keys. */
uint64_t RpEndpoint_Key(struct rp_endpoint endpoint);

/* Returns whether address and port are equal. */
bool RpEndpoint_Equal(struct rp_endpoint a, struct rp_endpoint b);

#endif
