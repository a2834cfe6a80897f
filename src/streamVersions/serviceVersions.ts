/**
 * Tracks at which software versions of a service streams may have begun.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { type StreamVersionRecord } from "../generated/gossip.js";

/** Stands for versions that a restore of the key-value service may have removed from the record; never announced. */
export const UNPROVEN_VERSION = "(unproven)";

/** What the next record depends on. */
export interface NextRecordInput {
    /** Known upstreams, also those that are leaving. */
    readonly announced: readonly Pick<UpstreamAnnouncement, "service" | "softwareVersion">[];
    /** Services with streams that callers may resume. */
    readonly services: ReadonlySet<string>;
    /** How often the key-value service has been restored. */
    readonly restores: number;
    /** Time after a version's last upstream for which streams that began there may be resumed. */
    readonly retentionMilliseconds: number;
}

function isSameRecord(left: StreamVersionRecord | undefined, right: StreamVersionRecord): boolean {
    return left !== undefined && JSON.stringify(left) === JSON.stringify(right);
}

/**
 * The versions that are on record, and the changes that the record needs.
 *
 * A version is put on record before any stream begins there, and removed long after its last upstream has left. Hence a
 * record with one version proves, also to a host that has just started, that every stream began at that version.
 *
 * @example
 * ```ts
 * const versions = new ServiceVersions();
 * versions.apply({ restores: 0, services: [{ service: "bag-llm", versions: ["v1"] }] });
 * versions.onlyVersion("bag-llm", 0); // "v1"
 * versions.mayBegin("bag-llm", "v1.1"); // false
 * ```
 */
export class ServiceVersions {
    #record: StreamVersionRecord | undefined;
    /** False once the record was removed from the key-value service. */
    #isStored = false;
    readonly #versions = new Map<string, ReadonlySet<string>>();
    /** When each recorded version without an upstream was first found to have none, by service and version. */
    readonly #absentSince = new Map<string, number>();

    /** Applies a record of the key-value service. */
    apply(record: StreamVersionRecord): void {
        this.#record = record;
        this.#isStored = true;
        this.#versions.clear();
        record.services.forEach(({ service, versions }) => this.#versions.set(service, new Set(versions)));
    }

    /** Records that the key-value service has no record; the versions that were on it stay in force. */
    handleRemoved(): void {
        this.#isStored = false;
    }

    /** True once a record is known. */
    get isKnown(): boolean {
        return this.#record !== undefined;
    }

    /** Returns whether streams may begin at a version. */
    mayBegin(service: string, version: string): boolean {
        return this.#versions.get(service)?.has(version) === true;
    }

    /** Returns the version at which all streams of a service began; `undefined` where there may be others. */
    onlyVersion(service: string, restores: number): string | undefined {
        const [version, ...others] = this.#versions.get(service) ?? [];
        const isCurrent = this.#isStored && !this.#isOutdated(restores);
        return isCurrent && others.length === 0 ? version : undefined;
    }

    /** Returns whether streams of some service may have begun at different versions. */
    hasSeveral(): boolean {
        return [...this.#versions.values()].some(({ size }) => size > 1);
    }

    /** Returns the record to write; `undefined` where the present one is right. */
    nextRecord(input: NextRecordInput, nowMilliseconds: number): StreamVersionRecord | undefined {
        const names = [...new Set([...this.#versions.keys(), ...input.services])].sort();
        const services = names
            .map(service => ({ service, versions: this.#nextVersions(service, input, nowMilliseconds) }))
            .filter(({ versions }) => versions.length > 0);
        const restores = Math.max(input.restores, this.#record?.restores ?? 0);
        const next = { restores, services: this.#isOutdated(input.restores) ? services.map(addUnproven) : services };
        const isRight = this.#isStored && isSameRecord(this.#record, next);
        return services.length === 0 || isRight ? undefined : next;
    }

    /** Returns whether a restore may have removed versions from the record. */
    #isOutdated(restores: number): boolean {
        return this.#record !== undefined && restores > this.#record.restores;
    }

    /** Returns a service's versions: those announced, and those whose last upstream has left not long ago. */
    #nextVersions(service: string, input: NextRecordInput, nowMilliseconds: number): string[] {
        const announced = input.announced.filter(upstream => upstream.service === service);
        const present = new Set(announced.map(({ softwareVersion }) => softwareVersion));
        const added = input.services.has(service) ? [...present] : [];
        const kept = [...this.#versions.get(service) ?? []].filter(version => {
            const key = `${service}\u0000${version}`;
            if (present.has(version)) {
                this.#absentSince.delete(key);
                return true;
            }
            const since = this.#absentSince.get(key) ?? nowMilliseconds;
            this.#absentSince.set(key, since);
            return nowMilliseconds - since < input.retentionMilliseconds;
        });
        return [...new Set([...kept, ...added])].sort();
    }
}

function addUnproven(
    { service, versions }: StreamVersionRecord["services"][number],
): StreamVersionRecord["services"][number] {
    return { service, versions: [...new Set([...versions, UNPROVEN_VERSION])].sort() };
}
