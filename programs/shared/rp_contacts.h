/* The addresses at which a process looks for control replicas, and which of
 * them to try next.
 *
 * There are three lists. Each is replaced as a whole, so that an address that
 * has left all of them is forgotten:
 *
 *   told      from a replica itself, or from this replica's own log
 *   hints     from an instance that is not connected to the process as
 * control: one without a disk (a relay), or a replica that the process asked
 *             to let it join
 *   settings  the addresses that the process was started with
 *
 * Told addresses come first, then hints. A relay passes on only what a replica
 * has told it, so relays do not feed each other addresses of relays.
 */
#ifndef RP_CONTACTS_H
#define RP_CONTACTS_H

#include "rp_msg.h"
#include "rp_settings.h"

struct rp_contacts {
    struct rp_endpoint self; /* not tried; port 0: this process does not
                              * listen for other processes */
    struct rp_endpoints told;
    struct rp_endpoints hints;
    struct rp_endpoints settings;
    size_t next; /* index of the address to try next, in all lists in turn */
};

/* Returns a random number below `upper_bound`, as randombytes_uniform does. */
typedef uint32_t (*RpContacts_Random)(uint32_t upper_bound);

/* Starts with the addresses from the settings, at a random one. */
void RpContacts_Init(struct rp_contacts *contacts, struct rp_endpoint self,
                     const struct rp_endpoints *settings,
                     RpContacts_Random random_below);

/* Replaces one of the lists. At most RP_ENDPOINTS_MAX addresses are kept; this
 * process's own is left out. */
void RpContacts_SetSettings(struct rp_contacts *contacts,
                            const struct rp_endpoints *settings);
void RpContacts_SetTold(struct rp_contacts *contacts,
                        const struct rp_endpoints *told);

/* Replaces the hints, which are tried next, from a random one on: many nodes
 * may get the same hints at the same moment. An empty list changes nothing. */
void RpContacts_SetHints(struct rp_contacts *contacts,
                         const struct rp_endpoints *hints,
                         RpContacts_Random random_below);

void RpContacts_DropHints(struct rp_contacts *contacts);

/* Takes the address to try next. Returns false if no address is known. */
bool RpContacts_Next(struct rp_contacts *contacts, struct rp_endpoint *to);

/* Returns whether an address is in one of the lists. */
bool RpContacts_Contains(const struct rp_contacts *contacts,
                         struct rp_endpoint address);

/* Converts between a list of addresses and a message. The caller frees the
 * message's list with RpMsg_Clear. */
void RpContacts_FromMsg(const struct rp_msg_controls *controls,
                        struct rp_endpoints *list);
void RpContacts_ToMsg(const struct rp_endpoints *list, struct rp_msg *msg);

#endif
