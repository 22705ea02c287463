/* A replica of the consensus log with its storage: runs the state machine of
 * rp_replica.h, writes its journal to disk and applies committed entries to
 * the catalogue.
 *
 * Runs the actions of rp_replica.h in order, and syncs the journal after
 * records are written and before any later message is sent or entry
 * applied.
 */
#ifndef RP_CONTROL_REPLICA_H
#define RP_CONTROL_REPLICA_H

#include "rp_catalog.h"
#include "rp_counters.h"
#include "rp_error.h"
#include "rp_replica.h"

/* Interval between attempts to reopen the journal after a disk error, since a
 * full disk may have room again soon. */
#define RP_STORAGE_RETRY_US (500 * RP_US_PER_MS)

struct rp_control_replica;

/* Callbacks to the owner. */
struct rp_control_replica_ops {
    /* Sends a message to the replica with the id `to`; drops it if there is no
     * connection. */
    void (*send)(void *user, uint64_t to, const struct rp_msg *msg);
    /* An entry was applied. `reply` holds the result of a change or an edition
     * and is zero for other entries. */
    void (*applied)(void *user, const struct rp_log_entry *entry,
                    const struct rp_msg_change_reply *reply);
    /* The whole catalogue was replaced, by a snapshot or by reading the
     * journal again. */
    void (*restored)(void *user);
    /* This replica, the leader, changes the members: an action of the kind
     * RP_REPLICA_REPORT_CHANGE. */
    void (*member_change)(void *user, const struct rp_replica_action *action);
    /* The disk of `member` is lost: another replica has taken its place. */
    void (*disk_lost)(void *user, const struct rp_replica_member *member);
    /* The leader's snapshot up to this log index does not decode. */
    void (*snapshot_refused)(void *user, uint64_t index);
    /* Writing to the disk failed. Acknowledged changes are safe. The replica
     * stops taking part until it can reopen its journal and write to it, which
     * it tries every RP_STORAGE_RETRY_US. Called for each failed attempt. */
    void (*failed)(void *user, const struct rp_error *error);
};

/* Opens the data folder, creating it if it is missing, and loads its journal.
 * A new folder gets the replica id `first_id`, or a random one if that is 0.
 * `ops` and `user` are borrowed. Returns NULL and adds findings on failure;
 * free with RpControlReplica_Close. */
struct rp_control_replica *
RpControlReplica_Open(const char *folder, uint64_t first_id, int64_t now,
                      const struct rp_control_replica_ops *ops, void *user,
                      struct rp_error *error);

/* See RpReplica_SetMinVoters. */
void RpControlReplica_SetMinVoters(struct rp_control_replica *self,
                                   size_t min_voters);

/* Records the duration of each disk sync in `counters`, which is borrowed. */
void RpControlReplica_SetCounters(struct rp_control_replica *self,
                                  struct rp_counters *counters);

void RpControlReplica_Close(struct rp_control_replica *self);

/* Makes this replica the only member of a new system. Fails with
 * RP_ERR_SETTING if the folder already belongs to a system, and with RP_ERR_IO
 * if the disk fails. */
enum rp_code RpControlReplica_Create(struct rp_control_replica *self,
                                     const struct rp_replica_member *member,
                                     struct rp_error *error);

/* Makes this replica one of the initial members of a new system; each of them
 * must be given the same list. Does nothing if the folder already holds a log
 * or a term. */
void RpControlReplica_CreateGroup(struct rp_control_replica *self,
                                  const GArray *members);

/* The applied state and the consensus state; owned by this replica.
 * RpControlReplica_Tick may replace the latter. */
const struct rp_catalog *
RpControlReplica_Catalog(const struct rp_control_replica *self);
struct rp_replica *
RpControlReplica_Replica(const struct rp_control_replica *self);

/* Whether the disk takes writes, as far as this replica knows. */
bool RpControlReplica_IsWorking(const struct rp_control_replica *self);

/* Events: time passes, a message arrives, a replica asks to join (`forwarded`:
 * its request comes through a third replica). Each also runs the resulting
 * actions. A replica whose disk has failed ignores messages and requests to
 * join. */
void RpControlReplica_Tick(struct rp_control_replica *self, int64_t now);
void RpControlReplica_Receive(struct rp_control_replica *self, int64_t now,
                              const struct rp_msg *msg);
void RpControlReplica_Join(struct rp_control_replica *self, int64_t now,
                           const struct rp_replica_member *member,
                           bool forwarded);

/* The connection to the replica with this id was closed or could not be
 * opened; see RpReplica_OnDisconnect. */
void RpControlReplica_OnDisconnect(struct rp_control_replica *self,
                                   int64_t now, uint64_t id);

/* Prepares a planned stop; see RpReplica_Leave. */
void RpControlReplica_Leave(struct rp_control_replica *self);

/* Whether this replica can stop at once after RpControlReplica_Leave; see
 * RpReplica_MayStop. One whose disk has failed can. */
bool RpControlReplica_MayStop(const struct rp_control_replica *self);

/* Leader: appends a command to the log and returns its index and term. The
 * caller records these and then calls RpControlReplica_RunActions, which
 * stores, sends and possibly applies the entry. Any other replica, and one
 * whose disk has failed, returns RP_ERR_NO_LEADER. */
enum rp_code RpControlReplica_Propose(struct rp_control_replica *self,
                                      int64_t now, const GString *command,
                                      uint64_t *index, uint64_t *term);
void RpControlReplica_RunActions(struct rp_control_replica *self);

#endif
