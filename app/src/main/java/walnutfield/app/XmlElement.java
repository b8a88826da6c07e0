package walnutfield.app;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;

/**
 * An element of an XML file that is valid against the schema of settings and scripts, with the line it begins on.
 * Attributes that the file leaves out have the schema's defaults.
 */
final class XmlElement {
    private static final String SCHEMA_RESOURCE = "/walnutfield/settings.xsd";

    private final String fileName;
    private final String name;
    private final int line;
    private final Map<String, String> attributes = new LinkedHashMap<>();
    private final List<XmlElement> children = new ArrayList<>();

    private XmlElement(String fileName, String name, int line) {
        this.fileName = fileName;
        this.name = name;
        this.line = line;
    }

    /**
     * Reads a file and validates it against the schema. Document types are forbidden, so that nothing outside the file
     * is read.
     *
     * @param rootName the name that the file's root element must have
     * @throws InvalidSettingsException with the file, the line and the reason
     */
    static XmlElement read(Path path, String rootName) throws InvalidSettingsException {
        String fileName = path.toString();
        try {
            return parse(fileName, Files.readString(path), rootName);
        } catch (IOException e) {
            throw new InvalidSettingsException(fileName, 0, "cannot be read: " + e.getMessage());
        }
    }

    /**
     * Parses and validates a text.
     *
     * @param fileName the file that error messages name
     * @param rootName the name that the root element must have
     */
    static XmlElement parse(String fileName, String text, String rootName) throws InvalidSettingsException {
        XmlElement[] rootElement = new XmlElement[1];
        try {
            SchemaFactory schemaFactory = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
            URL schema = XmlElement.class.getResource(SCHEMA_RESOURCE);
            SAXParserFactory parserFactory = SAXParserFactory.newInstance();
            parserFactory.setNamespaceAware(true);
            parserFactory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            parserFactory.setSchema(schemaFactory.newSchema(schema));
            parserFactory.newSAXParser().parse(new InputSource(new StringReader(text)), new DefaultHandler() {
                private final ArrayDeque<XmlElement> openElements = new ArrayDeque<>();
                private Locator position;

                @Override
                public void setDocumentLocator(Locator locator) {
                    position = locator;
                }

                @Override
                public void startElement(String uri, String localName, String qualifiedName, Attributes parsed) {
                    XmlElement element = new XmlElement(fileName, localName, position.getLineNumber());
                    for (int i = 0; i < parsed.getLength(); i++) {
                        element.attributes.put(parsed.getLocalName(i), parsed.getValue(i));
                    }
                    if (openElements.isEmpty()) {
                        rootElement[0] = element;
                    } else {
                        openElements.peek().children.add(element);
                    }
                    openElements.push(element);
                }

                @Override
                public void endElement(String uri, String localName, String qualifiedName) {
                    openElements.pop();
                }

                @Override
                public void error(SAXParseException e) throws SAXException {
                    throw e;
                }
            });
        } catch (SAXParseException e) {
            throw new InvalidSettingsException(
                    fileName, e.getLineNumber(), e.getMessage().replaceAll("^cvc-[^:]*: ", ""));
        } catch (SAXException | IOException | ParserConfigurationException e) {
            throw new InvalidSettingsException(fileName, 0, e.toString());
        }
        if (!rootElement[0].name.equals(rootName)) {
            throw rootElement[0].invalid(
                    "the file's root element is <" + rootElement[0].name + ">, expected <" + rootName + ">");
        }
        return rootElement[0];
    }

    /** The text of the schema that all files are validated against. */
    static String schema() throws IOException {
        try (InputStream in = XmlElement.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            return new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    /** An exception that names this element's file and line. */
    InvalidSettingsException invalid(String reason) {
        return new InvalidSettingsException(fileName, line, reason);
    }

    /** The first child element of the given name; callers ask only for children that the schema requires. */
    XmlElement child(String childName) {
        return children.stream()
                .filter(c -> c.name.equals(childName))
                .findFirst()
                .orElseThrow();
    }

    List<XmlElement> children(String childName) {
        return children.stream().filter(c -> c.name.equals(childName)).toList();
    }

    boolean hasChild(String childName) {
        return children.stream().anyMatch(c -> c.name.equals(childName));
    }

    String getString(String attribute) {
        return attributes.get(attribute);
    }

    double getDouble(String attribute) {
        return Double.parseDouble(attributes.get(attribute));
    }

    int getInt(String attribute) {
        return Integer.parseInt(attributes.get(attribute));
    }

    long getLong(String attribute) {
        return Long.parseLong(attributes.get(attribute));
    }

    /** The value of an xs:boolean attribute, which may be written as true, false, 1 or 0. */
    boolean getBoolean(String attribute) {
        String value = attributes.get(attribute);
        return value.equals("true") || value.equals("1");
    }
}
