/* A small TCP/IP stack (lwIP) whose only link is Geneve over UDP.
 *
 * Stand-ins for callers and hosts run real TCP through the system with it,
 * unprivileged and on the main loop. */
#ifndef LINK_H
#define LINK_H

#include "lwip/tcp.h"
#include "rp_endpoint.h"

/* Starts the stack with one address. Datagrams come in at `listen` and go
 * out to `peer`. Prints why and returns false on failure. */
bool link_start(uint32_t address, struct rp_endpoint listen,
                struct rp_endpoint peer);

/* An address as lwIP wants it. */
ip_addr_t link_address(uint32_t address);

#endif
