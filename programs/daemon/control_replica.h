/* A control instance's replica: the agreed log, its journal on disk and the
 * catalogue that the log leads to. Carries out the decisions of
 * rp_replica.h in order, with a sync between storing and sending. */
#ifndef RP_CONTROL_REPLICA_H
#define RP_CONTROL_REPLICA_H

#include "rp_catalog.h"
#include "rp_counters.h"
#include "rp_error.h"
#include "rp_replica.h"

/* How often a failed disk is tried again: it may be full for a moment. */
#define RP_STORAGE_RETRY_US (500 * RP_US_PER_MS)

struct rp_control_replica;

/* What its owner is told. */
struct rp_control_replica_ops {
    /* Sends a message to the member with this id, if it can. */
    void (*send)(void *user, uint64_t to, const struct rp_msg *msg);
    /* A command was applied. `reply` is set for changes. */
    void (*applied)(void *user, const struct rp_log_entry *entry,
                    const struct rp_msg_change_reply *reply);
    /* The whole catalogue was replaced by a snapshot. */
    void (*restored)(void *user);
    /* The disk failed: what was acknowledged is safe. The replica takes no
     * part until the disk works again; it tries every
     * RP_STORAGE_RETRY_US. */
    void (*failed)(void *user, const struct rp_error *error);
};

/* Opens the data folder, creating it if it is missing. A new folder gets the
 * identity `first_id`, or a drawn one if that is 0. NULL with findings on
 * failure. */
struct rp_control_replica *
RpControlReplica_Open(const char *folder, uint64_t first_id, int64_t now,
                      const struct rp_control_replica_ops *ops, void *user,
                      struct rp_error *error);

/* Counts how long syncs take. Borrowed. */
void RpControlReplica_SetCounters(struct rp_control_replica *self,
                                  struct rp_counters *counters);

void RpControlReplica_Close(struct rp_control_replica *self);

/* Makes this the first replica of a new system; fails if the folder holds
 * one already. */
enum rp_code RpControlReplica_Create(struct rp_control_replica *self,
                                     const struct rp_replica_member *member,
                                     struct rp_error *error);

/* Makes this one of the first replicas of a new system, which are all given
 * the same members; does nothing if the folder holds a state already. */
void RpControlReplica_CreateGroup(struct rp_control_replica *self,
                                  const GArray *members);

const struct rp_catalog *
RpControlReplica_Catalog(const struct rp_control_replica *self);
struct rp_replica *
RpControlReplica_Replica(const struct rp_control_replica *self);

/* Events; each carries out what follows from it. */
void RpControlReplica_Tick(struct rp_control_replica *self, int64_t now);
void RpControlReplica_Receive(struct rp_control_replica *self, int64_t now,
                              const struct rp_msg *msg);
void RpControlReplica_Join(struct rp_control_replica *self, int64_t now,
                           const struct rp_replica_member *member,
                           bool passed_on);

/* Leader: adds a command; it is carried out by RpControlReplica_CarryOut,
 * so that the caller can note `*index` and `*term` first. */
enum rp_code RpControlReplica_Propose(struct rp_control_replica *self,
                                      int64_t now, const GString *command,
                                      uint64_t *index, uint64_t *term);
void RpControlReplica_CarryOut(struct rp_control_replica *self);

#endif
