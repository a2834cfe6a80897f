/**
 * Selects the members that a digest includes.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { FULL_MESH_HOSTS, sample } from "./_fanOut.js";
import { type Member } from "./_members.js";

/** Changed members whose full status one digest carries. */
const CHANGES_PER_DIGEST = 4;
/** Members of other zones whose counters one digest carries; a full mesh carries those of all members. */
const OTHER_ZONES_PER_DIGEST = 8;

/** Members that a digest includes. */
export interface DigestMembers {
    /** Sent with their identities and full status. */
    readonly fullStatus: readonly Member[];
    /** Sent as counters without identities. */
    readonly countersOnly: readonly Member[];
}

/**
 * Selects the members that a digest includes: the latest changes with their full status, and the counters of the own
 * zone and of a random part of the other zones.
 *
 * @param members Candidates, in a defined order.
 * @param self This host.
 * @param random Chooses among the members of other zones.
 */
export function selectDigestMembers(
    members: readonly Member[],
    self: HostIdentity,
    random: RandomSource,
): DigestMembers {
    const live = members.filter(member => member.lostAtMilliseconds === undefined);
    const ownZone = live.filter(member => member.identity.zone === self.zone);
    const otherZones = live.filter(member => member.identity.zone !== self.zone);
    return {
        fullStatus: selectChanged(members),
        countersOnly: [
            ...ownZone,
            ...sample(otherZones, Math.max(OTHER_ZONES_PER_DIGEST, FULL_MESH_HOSTS - ownZone.length), random),
        ],
    };
}

/** Selects the changes that were published least often (most repeats remaining), and uses up one repeat of each. */
function selectChanged(members: readonly Member[]): Member[] {
    const changed = members.filter(member => member.remainingRepeats > 0)
        .sort((left, right) => right.remainingRepeats - left.remainingRepeats)
        .slice(0, CHANGES_PER_DIGEST);
    changed.forEach(member => member.remainingRepeats -= 1);
    return changed;
}
