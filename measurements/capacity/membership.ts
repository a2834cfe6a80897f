/**
 * Measures one host's heartbeats, their bytes and processor time, and its membership state, by number of hosts.
 *
 * @module
 */
import { createSeededRandom } from "../../src/decision/index.js";
import { type PeerProgress, type PeerStatus } from "../../src/generated/peers.js";
import {
    createMembershipDecision,
    type MembershipDecision,
    type MembershipEffect,
} from "../../src/membership/index.js";
import { heapBytes } from "./probe.js";
import { sampleIdentity } from "./sampleDeployment.js";

const TICK_MILLISECONDS = 250;
const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 20_000;
const MILLISECONDS_IN_SECOND = 1000;

/** Cost of membership for one host per second, and the size of its state. */
export interface MembershipFigures {
    readonly hosts: number;
    readonly heartbeatsPerSecond: number;
    readonly bytesPerSecond: number;
    readonly processorMillisecondsPerSecond: number;
    readonly stateBytes: number;
}

interface Delivery {
    readonly to: number;
    readonly status: PeerStatus;
    readonly known: readonly PeerStatus[];
    readonly progress: PeerProgress | undefined;
}

/**
 * Runs the membership decisions of all hosts in this process.
 *
 * @param hosts Number of hosts.
 * @param zones Number of zones that the hosts are spread over.
 *
 * @example
 * ```ts
 * console.log(measureMembership(390, 9).bytesPerSecond);
 * ```
 */
export function measureMembership(hosts: number, zones: number): MembershipFigures {
    const before = heapBytes();
    const decisions = Array.from(
        { length: hosts },
        (_, index) =>
            createMembershipDecision({ identity: sampleIdentity(index, zones), random: createSeededRandom(index) }),
    );
    const listing = decisions.map((_, index) => {
        const { host, peersUrl } = sampleIdentity(index, zones);
        return { host, peersUrl };
    });
    decisions.forEach(decision => decision.handle({ type: "host-list", live: listing, leaving: [] }, 0));
    const tally = { heartbeats: 0, bytes: 0, processorMilliseconds: 0 };
    const run = (from: number, until: number) => {
        for (let now = from; now < until; now += TICK_MILLISECONDS) {
            tickAll(decisions, now, tally);
        }
    };
    run(0, WARM_UP_MILLISECONDS);
    Object.assign(tally, { heartbeats: 0, bytes: 0, processorMilliseconds: 0 });
    run(WARM_UP_MILLISECONDS, WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS);
    const hostSeconds = hosts * MEASURED_MILLISECONDS / MILLISECONDS_IN_SECOND;
    return {
        hosts,
        heartbeatsPerSecond: tally.heartbeats / hostSeconds,
        bytesPerSecond: tally.bytes / hostSeconds,
        processorMillisecondsPerSecond: tally.processorMilliseconds / hostSeconds,
        stateBytes: (heapBytes() - before) / hosts,
    };
}

function tickAll(
    decisions: readonly MembershipDecision[],
    now: number,
    tally: { heartbeats: number; bytes: number; processorMilliseconds: number; },
): void {
    const startedAt = performance.now();
    let countingMilliseconds = 0;
    const deliveries: Delivery[] = [];
    const recordDeliveries = (effects: readonly MembershipEffect[]): void => {
        for (const effect of effects) {
            if ((effect.type !== "send-heartbeat" && effect.type !== "send-reply") || effect.host === undefined) {
                continue;
            }
            const { status, known, progress } = effect;
            const countingStartedAt = performance.now();
            tally.heartbeats += 1;
            tally.bytes += Buffer.byteLength(JSON.stringify({ status, known, progress }));
            countingMilliseconds += performance.now() - countingStartedAt;
            deliveries.push({ to: Number(effect.host.replace("entry-", "")), status, known, progress });
        }
    };
    decisions.forEach(decision => recordDeliveries(decision.handle({ type: "tick" }, now)));
    for (let next = deliveries.shift(); next !== undefined; next = deliveries.shift()) {
        const { to, status, known, progress } = next;
        recordDeliveries(decisions[to]?.handle({ type: "heartbeat-received", status, known, progress }, now) ?? []);
    }
    tally.processorMilliseconds += performance.now() - startedAt - countingMilliseconds;
}
