/**
 * Which members a digest tells of.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { FULL_MESH_HOSTS, sample } from "./_fanOut.js";
import { type Member } from "./_members.js";

/** Changed members that one digest tells of in full. */
const NEWS_PER_DIGEST = 4;
/** Members of other zones whose counters one digest carries; all of them in a full mesh. */
const OTHER_ZONES_PER_DIGEST = 8;

/** Members that a digest tells of. */
export interface KnownSelection {
    /** Told with their identities. */
    readonly whole: readonly Member[];
    /** Told by their counters alone. */
    readonly counters: readonly Member[];
}

/**
 * Selects the members that a digest tells of: the latest changes whole, and the counters of the own zone and of a few
 * others.
 *
 * @param members Candidates, in a defined order.
 * @param self This host.
 * @param random Chooses among unchanged members.
 */
export function selectKnown(members: readonly Member[], self: HostIdentity, random: RandomSource): KnownSelection {
    const heard = members.filter(member => member.lostAtMilliseconds === undefined);
    const own = heard.filter(member => member.identity.zone === self.zone);
    const others = heard.filter(member => member.identity.zone !== self.zone);
    return {
        whole: takeNews(members),
        counters: [...own, ...sample(others, Math.max(OTHER_ZONES_PER_DIGEST, FULL_MESH_HOSTS - own.length), random)],
    };
}

/** Takes the changes that were told least often, and counts them as told once more. */
function takeNews(members: readonly Member[]): Member[] {
    const news = members.filter(member => member.newsLeft > 0)
        .sort((left, right) => right.newsLeft - left.newsLeft)
        .slice(0, NEWS_PER_DIGEST);
    news.forEach(member => member.newsLeft -= 1);
    return news;
}
