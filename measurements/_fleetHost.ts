/**
 * One host process of a simulated fleet.
 *
 * @module
 */
import { Ok, type Result } from "ts-results-es";
import {
    type ConfigurationDecision,
    createConfigurationDecision,
    type TextProblem,
} from "../src/configuration/index.js";
import { type RandomSource } from "../src/decision/index.js";
import { type Deployment } from "../src/generated/deployment.js";
import { type HostIdentity } from "../src/generated/peers.js";
import { type ConfigurationRecord } from "../src/generated/platform.js";
import { createMembershipDecision, type MembershipDecision } from "../src/membership/index.js";

/** After a pause a process runs its timers for this long before it reads its sockets. */
export const SOCKET_DELAY_AFTER_PAUSE_MILLISECONDS = 300;

/** Accepts any text as a deployment: these runs test revisions, not contents. */
function parseAnything(): Result<Deployment, readonly TextProblem[]> {
    return new Ok({} as Deployment);
}

/** One process of a host. */
export interface FleetHost {
    readonly identity: HostIdentity;
    readonly membership: MembershipDecision;
    readonly configuration: ConfigurationDecision;
    alive: boolean;
    pausedUntilMilliseconds: number;
    /** Configuration records in the order in which they came into force. */
    readonly activated: ConfigurationRecord[];
    /** Incarnations of peers reported to be leaving, as `host/incarnation`. */
    readonly knownLeaving: Set<string>;
    /** True once a graceful shutdown has begun. */
    hasBegunLeaving: boolean;
}

/** Options of a process. */
export interface FleetHostOptions {
    readonly zones: number;
    readonly regions: number;
    readonly random: RandomSource;
}

function createIdentity(name: string, incarnation: number, options: FleetHostOptions): HostIdentity {
    const index = Number(name.split("-")[1]);
    const zone = index % options.zones;
    return {
        host: name,
        incarnation: `0mc${String(incarnation).padStart(6, "0")}-1a2b3c4d`,
        zone: `zone-${zone}`,
        region: `region-${zone % options.regions}`,
        callersUrl: `http://10.20.${zone}.${index}:8080`,
        peersUrl: `http://10.20.${zone}.${index}:8081`,
    };
}

/**
 * Creates a process.
 *
 * @param name Name of the host, which ends in its index.
 * @param incarnation Number of the process, which increases with each process started in the fleet.
 * @param options Zones and regions of the fleet, and its random source.
 */
export function createFleetHost(name: string, incarnation: number, options: FleetHostOptions): FleetHost {
    const { random } = options;
    const identity = createIdentity(name, incarnation, options);
    return {
        identity,
        membership: createMembershipDecision({ identity, random }),
        configuration: createConfigurationDecision({ host: name, parse: parseAnything, random }),
        alive: true,
        pausedUntilMilliseconds: -SOCKET_DELAY_AFTER_PAUSE_MILLISECONDS,
        activated: [],
        knownLeaving: new Set(),
        hasBegunLeaving: false,
    };
}
