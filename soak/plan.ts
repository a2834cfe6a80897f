/**
 * Plans a soak by its seed: the deployment, and the troubles in series that overlap.
 *
 * @module
 */
import { createSeededRandom } from "../src/decision/index.js";

/** Kinds of troubles, each as often as it stands here. */
const TROUBLE_KINDS = [
    "stop-host",
    "stop-host",
    "kill-host",
    "kill-host",
    "kill-many",
    "freeze-host",
    "freeze-host",
    "reload",
    "reload",
    "reload-at-start",
    "rolling-restart",
    "configure",
    "configure",
    "engine-leaves",
    "engine-leaves",
    "engine-silent",
    "engine-resets",
    "engine-fails",
    "engine-late",
    "engine-pauses",
    "engine-crashes",
    "store-silent",
    "store-refuses",
    "store-loses-answers",
    "store-slow",
    "large-bodies",
    "unread-answers",
    "callers-vanish",
] as const;

/** A kind of trouble. */
export type TroubleKind = typeof TROUBLE_KINDS[number];

/** A trouble that begins at a time. */
export interface PlannedTrouble {
    readonly kind: TroubleKind;
    readonly atMilliseconds: number;
    readonly milliseconds: number;
    /** From 0 to 1: which host, engine or form is meant. */
    readonly choice: number;
    /** From 0 to 1: how many are meant, or how large. */
    readonly amount: number;
}

/** The plan of a soak. */
export interface SoakPlan {
    readonly seed: number;
    readonly milliseconds: number;
    readonly hosts: number;
    readonly memoryMegabytes: number;
    readonly callers: number;
    readonly troubles: readonly PlannedTrouble[];
}

const MEMORY_MEGABYTES = [350, 250, 160] as const;
const MINIMUM_HOSTS = 3;
const MAXIMUM_HOSTS = 9;
const SERIES = 3;
const FIRST_TROUBLE_MILLISECONDS = 1_000;
const LONGEST_PAUSE_MILLISECONDS = 4_000;
const SHORTEST_TROUBLE_MILLISECONDS = 200;
const LONGEST_TROUBLE_MILLISECONDS = 4_000;
/** No trouble begins in this time before the end. */
const QUIET_END_MILLISECONDS = 5_000;

function planSeries(random: () => number, endMilliseconds: number): PlannedTrouble[] {
    const troubles: PlannedTrouble[] = [];
    let atMilliseconds = FIRST_TROUBLE_MILLISECONDS + random() * LONGEST_PAUSE_MILLISECONDS;
    while (atMilliseconds < endMilliseconds) {
        const kind = TROUBLE_KINDS[Math.floor(random() * TROUBLE_KINDS.length)] ?? "kill-host";
        const span = LONGEST_TROUBLE_MILLISECONDS - SHORTEST_TROUBLE_MILLISECONDS;
        const milliseconds = Math.round(SHORTEST_TROUBLE_MILLISECONDS + random() * span);
        troubles.push({
            kind,
            atMilliseconds: Math.round(atMilliseconds),
            milliseconds,
            choice: random(),
            amount: random(),
        });
        atMilliseconds += milliseconds * random() + random() * LONGEST_PAUSE_MILLISECONDS;
    }
    return troubles;
}

/**
 * Plans a soak.
 *
 * @param seed All choices follow from it.
 * @param milliseconds How long the callers send.
 * @param maximumHosts Fewer hosts than the seed's where the machine bears no more.
 *
 * @example
 * ```ts
 * const { hosts, troubles } = planSoak(7, 30_000);
 * ```
 */
export function planSoak(seed: number, milliseconds: number, maximumHosts = MAXIMUM_HOSTS): SoakPlan {
    const random = createSeededRandom(seed);
    const hosts = MINIMUM_HOSTS + Math.floor(random() * (MAXIMUM_HOSTS - MINIMUM_HOSTS + 1));
    const memoryMegabytes = MEMORY_MEGABYTES[Math.floor(random() * MEMORY_MEGABYTES.length)] ?? MEMORY_MEGABYTES[0];
    const end = milliseconds - QUIET_END_MILLISECONDS;
    const troubles = Array.from({ length: SERIES }, () => planSeries(random, end)).flat();
    return {
        seed,
        milliseconds,
        hosts: Math.min(hosts, maximumHosts),
        memoryMegabytes,
        callers: 3 * hosts,
        troubles: troubles.sort((first, second) => first.atMilliseconds - second.atMilliseconds),
    };
}
