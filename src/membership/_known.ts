/**
 * Which members a digest tells of.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { FULL_MESH_HOSTS, sample } from "./_fanOut.js";
import { type Member } from "./_members.js";

/** Changed members that one digest tells of, beyond the full mesh. */
const NEWS_PER_DIGEST = 8;
/** Unchanged members of other zones that one digest tells of, beyond the full mesh. */
const OTHER_ZONES_PER_DIGEST = 8;

/**
 * Selects the members that a digest tells of: all that are heard while hosts are few; else the own zone, the latest
 * changes and a few others.
 *
 * @param members Candidates, in a defined order.
 * @param self This host.
 * @param targetZone Zone of the host that gets the digest.
 * @param random Chooses among unchanged members of other zones.
 */
export function selectKnown(
    members: readonly Member[],
    self: HostIdentity,
    targetZone: string,
    random: RandomSource,
): Member[] {
    const heard = members.filter(member => member.lostAtMilliseconds === undefined);
    if (heard.length < FULL_MESH_HOSTS) {
        return heard;
    }
    const news = [...members].filter(member => member.newsLeft > 0)
        .sort((left, right) => right.newsLeft - left.newsLeft)
        .slice(0, NEWS_PER_DIGEST);
    news.forEach(member => member.newsLeft -= 1);
    const own = heard.filter(member => member.identity.zone === self.zone);
    const others = heard.filter(member => member.identity.zone !== self.zone && member.identity.zone !== targetZone);
    const selected = new Set([...news, ...own, ...sample(others, OTHER_ZONES_PER_DIGEST, random)]);
    return [...selected];
}
