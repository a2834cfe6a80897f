/**
 * The command `npm run soak`: plays soaks by their seeds.
 *
 * @module
 */
import { Builtins, Cli, Command, Option } from "clipanion";
import { resolve } from "node:path";
import { parseCount } from "../src/commands/_parseCount.js";
import { EXIT_CODES } from "../src/commands/exitCodes.js";
import { bundleProgram } from "../tests/support/bundledProgram.js";
import { planSoak } from "./plan.js";
import { playSoak, renderOutcome } from "./player.js";

const MILLISECONDS_PER_SECOND = 1_000;
const MILLISECONDS_PER_MINUTE = 60_000;

/** Plays seeds one after another: one, some, or as many as begin within some minutes. */
class SoakCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Plays a deployment as real processes under troubles that follow from a seed, and judges it.",
        examples: [
            ["Play one seed again", "$0 --seed 7"],
            ["Play the seeds 100 to 119 on an earlier build", "$0 --seed 100 --seeds 20 --target ../earlier/target"],
        ],
    });

    seed = Option.String("--seed", { description: "The seed, or the first one; 1 by default." });
    seeds = Option.String("--seeds", { description: "How many seeds are played." });
    minutes = Option.String("--minutes", { description: "Seeds are begun for this many minutes." });
    seconds = Option.String("--seconds", "40", { description: "How long each seed is played." });
    hosts = Option.String("--hosts", { description: "Play at most this many hosts, in place of the seed's number." });
    target = Option.String("--target", { description: "Folder of the launcher; by default the program is bundled." });
    output = Option.String("--output", "target/soak", { description: "Folder for the failing seeds." });

    override async execute(): Promise<number> {
        const { hosts, minutes, seconds, seed, seeds } = this;
        const counts = Object.entries({ seed, seeds, minutes, seconds, hosts })
            .map(([name, text]) => [name, parseCount(`--${name}`, text)] as const);
        for (const [, count] of counts) {
            if (count.isErr()) {
                this.context.stderr.write(`${count.error.text}\n`);
                return count.error.exitCode;
            }
        }
        return this.#play(Object.fromEntries(counts.map(([name, count]) => [name, count.unwrapOr(undefined)])));
    }

    async #play(counts: Readonly<Record<string, number | undefined>>): Promise<number> {
        const { hosts, minutes, seconds = 0, seed: first = 1, seeds = minutes === undefined ? 1 : Infinity } = counts;
        const bundled = this.target === undefined ? await bundleProgram() : undefined;
        const targetFolder = resolve(this.target ?? bundled?.folder ?? "target");
        const endAt = performance.now() + (minutes ?? Infinity) * MILLISECONDS_PER_MINUTE;
        let failed = 0;
        for (let seed = first; seed < first + seeds && performance.now() < endAt; seed += 1) {
            const plan = planSoak(seed, seconds * MILLISECONDS_PER_SECOND, hosts);
            const outcome = await playSoak(plan, targetFolder, resolve(this.output));
            failed += outcome.violations.length === 0 ? 0 : 1;
            this.context.stdout.write(`${renderOutcome(outcome)}\n`);
        }
        bundled?.close();
        return failed === 0 ? EXIT_CODES.ok : EXIT_CODES.failed;
    }
}

for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => process.exit(EXIT_CODES.failed));
}
const cli = new Cli({ binaryLabel: "soak", binaryName: "npm run soak --" });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
