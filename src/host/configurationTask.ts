/**
 * Runs the configuration decision: reads and watches the key-value service, and fetches records from peers.
 *
 * @module
 */
import {
    CONFIGURATION_KEY,
    type ConfigurationDecision,
    type ConfigurationEffect,
    type ConfigurationMessage,
    createConfigurationDecision,
    parseDeployment,
} from "../configuration/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type ConfigurationRecord, configurationRecordSchema } from "../generated/platform.js";
import { type MembershipPresence } from "../membership/index.js";
import { parseJson, type WatchEvent } from "../platform/index.js";
import { parseDocument } from "../platform/parseDocument.js";
import { type HostContext } from "./context.js";
import { createTask } from "./task.js";

const TICK_MILLISECONDS = 250;

/** The running configuration task. */
export interface ConfigurationTask {
    /** Read-only queries of the decision; messages go through the task. */
    readonly view: Pick<ConfigurationDecision, "record" | "deployment" | "heartbeatState">;
    /** Updates the live hosts, which determine whether this host watches the key-value service. */
    updatePresence(presence: MembershipPresence): void;
    close(): Promise<void>;
}

class ConfigurationRunner implements ConfigurationTask {
    readonly view: ConfigurationDecision;
    readonly #context: HostContext;
    readonly #peersUrlOf: (host: string) => string | undefined;
    readonly #task;
    #watch: { close(): Promise<void>; } | undefined;
    #shouldWatch = false;

    constructor(context: HostContext, peersUrlOf: (host: string) => string | undefined) {
        this.#context = context;
        this.#peersUrlOf = peersUrlOf;
        this.view = createConfigurationDecision({
            host: context.identity.host,
            random: context.random,
            parse: text => parseDeployment(text, { fileName: CONFIGURATION_KEY }),
        });
        this.#task = createTask<ConfigurationMessage, ConfigurationEffect>(this.view, {
            clock: context.clock,
            perform: effects => effects.forEach(effect => this.#perform(effect)),
            tick: { message: { type: "tick" }, intervalMilliseconds: TICK_MILLISECONDS },
        });
        context.events.subscribe(event => {
            if (event.type === "peer-heard") {
                const { identity, configurationRevision: revision, storeConfirmedMillisecondsAgo } = event.status;
                this.#task.send({ type: "peer-heard", host: identity.host, revision, storeConfirmedMillisecondsAgo });
            }
        });
        void this.#readStore();
    }

    updatePresence(presence: MembershipPresence): void {
        this.#task.send({ type: "presence", ...presence });
        this.#shouldWatch = this.view.watchesStore(presence.liveInZone);
        if (!this.#shouldWatch) {
            void this.#watch?.close();
            this.#watch = undefined;
        }
    }

    async close(): Promise<void> {
        this.#task.close();
        await this.#watch?.close();
    }

    #perform(effect: ConfigurationEffect): void {
        switch (effect.type) {
            case "read-store":
                void this.#readStore();
                break;
            case "fetch-from-peer":
                void this.#fetchFromPeer(effect.host);
                break;
            case "activate":
                this.#activate(effect.record, effect.deployment);
                break;
            case "reject-record":
                this.#context.logger.error("configuration rejected", {
                    revision: effect.revision,
                    cause: effect.message,
                });
                break;
            case "advertise":
                this.#context.logger.warn("advertising changed", { allowed: effect.allowed });
                this.#context.events.publish({ type: "advertise-changed", allowed: effect.allowed });
                break;
        }
    }

    #activate(record: ConfigurationRecord, deployment: Deployment): void {
        this.#context.metrics.gauge("configuration.revision", record.revision);
        this.#context.logger.info("configuration in force", {
            revision: record.revision,
            change: record.changeIdentifier,
        });
        this.#context.events.publish({ type: "deployment-activated", deployment, record });
    }

    async #readStore(): Promise<void> {
        const entry = await this.#context.keyValue.get(CONFIGURATION_KEY);
        if (entry.isErr()) {
            this.#context.metrics.increment("platform.errors", { kind: entry.error.kind });
            this.#task.send({ type: "store-failed" });
            return;
        }
        this.#handleStoreValue(entry.value?.value);
        if (this.#watch === undefined && this.#shouldWatch) {
            this.#startWatch();
        }
    }

    #handleStoreValue(value: string | undefined): void {
        const record = value === undefined
            ? undefined
            : parseDocument(configurationRecordSchema, parseJson(value)).data;
        if (value !== undefined && record === undefined) {
            this.#context.logger.error("the configuration record does not fit its schema");
        }
        this.#task.send({ type: "store-answered", record });
    }

    #startWatch(): void {
        this.#watch = this.#context.keyValue.watch(CONFIGURATION_KEY, event => this.#handleWatchEvent(event));
    }

    /** Drops an ended watch; the next successful read starts another where this host still has to watch. */
    #handleWatchEvent(event: WatchEvent): void {
        if (event.type === "put") {
            this.#handleStoreValue(event.entry.value);
        }
        else if (event.type === "ended") {
            this.#watch = undefined;
        }
    }

    async #fetchFromPeer(host: string): Promise<void> {
        const url = this.#peersUrlOf(host);
        const answer = url === undefined ? undefined : await this.#context.peers.get(url, url).fetchConfiguration();
        if (answer?.isOk() === true) {
            this.#task.send({ type: "peer-answered", host, record: answer.value });
        }
        else {
            this.#task.send({ type: "peer-failed", host });
        }
    }
}

/**
 * Starts the configuration task.
 *
 * @param context Settings, clients and observability of this host.
 * @param peersUrlOf Returns the base URL of a peer.
 *
 * @example
 * ```ts
 * const configuration = startConfigurationTask(context, host => urls.get(host));
 * console.log(configuration.view.record()?.revision);
 * ```
 */
export function startConfigurationTask(
    context: HostContext,
    peersUrlOf: (host: string) => string | undefined,
): ConfigurationTask {
    return new ConfigurationRunner(context, peersUrlOf);
}
