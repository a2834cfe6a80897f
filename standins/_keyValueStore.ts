/**
 * The state of the key-value stand-in: keys with revisions, leases, and watchers.
 *
 * @module
 */

const EXPIRY_CHECK_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1000;

/** One stored key. */
export interface StoredKey {
    readonly key: string;
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease: string;
}

/** A change of one key; without a value the key was deleted. */
export interface StoredChange {
    readonly revision: number;
    readonly key: string;
    readonly stored: StoredKey | undefined;
}

interface Lease {
    readonly seconds: number;
    expiresAt: number;
}

/** Keys of a range in the published form: `end` empty for one key alone. */
export function isInRange(key: string, start: string, end: string): boolean {
    if (end === "") {
        return key === start;
    }
    return key >= start && (end === "\0" || key < end);
}

/** Keys with revisions, leases that delete them, and watchers. */
export class KeyValueStore {
    revision = 1;
    readonly #keys = new Map<string, StoredKey>();
    readonly #leases = new Map<string, Lease>();
    readonly #watchers = new Set<(change: StoredChange) => void>();
    readonly history: StoredChange[] = [];
    readonly #expiry = setInterval(() => {
        this.#expire();
    }, EXPIRY_CHECK_MILLISECONDS);
    #nextLease = 7000;

    range(start: string, end: string): StoredKey[] {
        const found = [...this.#keys.values()].filter(({ key }) => isInRange(key, start, end));
        return found.sort((left, right) => left.key < right.key ? -1 : 1);
    }

    modRevisionOf(key: string): number {
        return this.#keys.get(key)?.modRevision ?? 0;
    }

    put(key: string, value: string, lease: string): boolean {
        if (lease !== "0" && !this.#leases.has(lease)) {
            return false;
        }
        this.revision += 1;
        const former = this.#keys.get(key);
        const stored = {
            key,
            value,
            createRevision: former?.createRevision ?? this.revision,
            modRevision: this.revision,
            version: (former?.version ?? 0) + 1,
            lease,
        };
        this.#keys.set(key, stored);
        this.#publish({ revision: this.revision, key, stored });
        return true;
    }

    delete(key: string): void {
        if (this.#keys.delete(key)) {
            this.revision += 1;
            this.#publish({ revision: this.revision, key, stored: undefined });
        }
    }

    grant(seconds: number): string {
        this.#nextLease += 1;
        const lease = String(this.#nextLease);
        this.#leases.set(lease, { seconds, expiresAt: performance.now() + seconds * MILLISECONDS_PER_SECOND });
        return lease;
    }

    /** Gives the renewed time in seconds, or 0 for a lease that has ended. */
    keepAlive(identifier: string): number {
        this.#expire();
        const lease = this.#leases.get(identifier);
        if (lease === undefined) {
            return 0;
        }
        lease.expiresAt = performance.now() + lease.seconds * MILLISECONDS_PER_SECOND;
        return lease.seconds;
    }

    revoke(identifier: string): boolean {
        const existed = this.#leases.delete(identifier);
        const bound = [...this.#keys.values()].filter(({ lease }) => lease === identifier);
        bound.forEach(({ key }) => {
            this.delete(key);
        });
        return existed;
    }

    subscribe(watcher: (change: StoredChange) => void): () => void {
        this.#watchers.add(watcher);
        return () => this.#watchers.delete(watcher);
    }

    clear(): void {
        this.#keys.clear();
        this.#leases.clear();
        this.history.length = 0;
        this.revision = 1;
    }

    close(): void {
        clearInterval(this.#expiry);
    }

    #expire(): void {
        const now = performance.now();
        const ended = [...this.#leases].filter(([, lease]) => lease.expiresAt <= now);
        ended.forEach(([identifier]) => this.revoke(identifier));
    }

    #publish(change: StoredChange): void {
        this.history.push(change);
        this.#watchers.forEach(watcher => {
            watcher(change);
        });
    }
}
